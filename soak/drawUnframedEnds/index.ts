/**
 * Schedule of endpoints that end while they send responses without framing.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import { drawBetween } from '../drawBetween/index.js';
import type { DrawScheduleOptions, FaultKind, ScheduledFault } from '../drawSchedule/index.js';

const MAXIMUM_FIRST_MILLISECONDS = 2_000;
const MEAN_PAUSE_MILLISECONDS = 4_000;
/** Shortest and longest time for which an endpoint sends responses without framing before it ends. */
const MINIMUM_MILLISECONDS = 400;
const MAXIMUM_MILLISECONDS = 3_000;
/** Distance from the seed of the other draws of a run. */
const SEED_OFFSET = 41_203;

/** Orders of events in which an endpoint ends. */
const KINDS = [
  'crashUnframed',
  'drainUnframed',
  'expireUnframed',
  'restartUnframed',
] as const satisfies readonly FaultKind[];

/**
 * Draws ends of endpoints, to be added to the schedule of the same seed.
 *
 * @param options - seed, length in milliseconds, and number of endpoints
 * @returns the faults in the order of their starts
 * @example
 * drawUnframedEnds({ seed: 7, milliseconds: 30_000, endpoints: 8 });
 */
export function drawUnframedEnds(options: Omit<DrawScheduleOptions, 'nodes'>): ScheduledFault[] {
  const { seed, milliseconds, endpoints } = options;
  const random = createRandom(seed + SEED_OFFSET);
  const faults: ScheduledFault[] = [];
  let at = random() * MAXIMUM_FIRST_MILLISECONDS;
  while (at < milliseconds) {
    faults.push({
      at: Math.round(at),
      kind: KINDS[Math.floor(random() * KINDS.length)] ?? 'crashUnframed',
      index: Math.floor(random() * endpoints),
      milliseconds: drawBetween(random, MINIMUM_MILLISECONDS, MAXIMUM_MILLISECONDS),
    });
    at -= Math.log(1 - random()) * MEAN_PAUSE_MILLISECONDS;
  }
  return faults;
}
