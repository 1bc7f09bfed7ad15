/**
 * Compares the retries of all nodes together with their retry budget.
 */
import type { DayResult } from '../../emulator/playDay/index.js';
import type { Row } from '../../src/commands/printOutput/index.js';
import { runExampleDay, readExampleDay } from '../siteDays/index.js';
import { round, type Measurement } from '../types.js';

const DAYS = ['crashes', 'zone-loss', 'grey-services', 'all-nodes-lost'] as const;
const RATE = 1.5;
const WINDOW_MILLISECONDS = 10_000;
/** Retries that the users' documentation allows per request, and on top of that per window. */
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 196;
/** Log events after which a request is retried or fails. */
const RETRY_EVENTS: ReadonlySet<string> = new Set(['run-refused', 'run-broken', 'attempt-failed']);

/**
 * Returns the maximum share of the budget that an upper bound on the retries uses in any window.
 */
function findMaximumShare({ lines, records }: DayResult): number {
  const retries = lines.filter(({ event }) => RETRY_EVENTS.has(event)).map(({ at }) => at);
  let largest = 0;
  for (const end of retries) {
    const isWithin = (at: number): boolean => at > end - WINDOW_MILLISECONDS && at <= end;
    const allowed = RETRY_RATIO * records.filter(({ at }) => isWithin(at)).length + RETRY_SLACK;
    largest = Math.max(largest, retries.filter(isWithin).length / allowed);
  }
  return largest;
}

/** Measures the retries of all nodes on days with injected faults at 1.5 times the load. */
export async function measureSiteBudget(): Promise<Measurement> {
  const rows: Row[] = [];
  let largest = 0;
  for (const name of DAYS) {
    const { result, figures } = await runExampleDay({
      day: { ...readExampleDay(name), rate: RATE },
    });
    const share = findMaximumShare(result);
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
