/**
 * Repeated sends of all nodes together against their budget.
 */
import type { DayResult } from '../../emulator/playDay/index.js';
import type { Row } from '../../src/commands/printOutput/index.js';
import { play, readNamedDay } from '../siteDays/index.js';
import { round, type Measurement } from '../types.js';

const DAYS = ['crashes', 'zone-loss', 'grey-services', 'all-nodes-lost'] as const;
const RATE = 1.5;
const WINDOW_MILLISECONDS = 10_000;
/** Repeats that the users' pages allow for each request, and beyond that in a window. */
const RATIO = 0.2;
const SLACK = 196;
/** Events after which a request is sent once more, or ends. */
const REPEATING_EVENTS: ReadonlySet<string> = new Set([
  'run-refused',
  'run-broken',
  'attempt-failed',
]);

/** Largest share of the budget that repeats take in any window, by an upper bound on repeats. */
function findLargestShare({ lines, records }: DayResult): number {
  const repeats = lines.filter(({ event }) => REPEATING_EVENTS.has(event)).map(({ at }) => at);
  let largest = 0;
  for (const end of repeats) {
    const isWithin = (at: number): boolean => at > end - WINDOW_MILLISECONDS && at <= end;
    const allowed = RATIO * records.filter(({ at }) => isWithin(at)).length + SLACK;
    largest = Math.max(largest, repeats.filter(isWithin).length / allowed);
  }
  return largest;
}

/** Repeats of all nodes on days with trouble at one and a half times the load. */
export async function measureSiteBudget(): Promise<Measurement> {
  const rows: Row[] = [];
  let largest = 0;
  for (const name of DAYS) {
    const { result, figures } = await play({ day: { ...readNamedDay(name), rate: RATE } });
    const share = findLargestShare(result);
    largest = Math.max(largest, share);
    const { asked, inTime, refused, failed } = figures.all;
    rows.push({ day: name, asked, inTime, refused, failed, 'largest share': round(share, 3) });
  }
  return {
    rows,
    targets: [
      {
        name: 'repeats of all nodes in any 10 s, of what the users allow',
        target: 'at most 1',
        measured: String(round(largest, 3)),
        isMet: largest <= 1,
      },
    ],
  };
}
