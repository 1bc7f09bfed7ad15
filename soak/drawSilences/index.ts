/**
 * Schedule of moments at which all open connections go silent.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import type { DrawScheduleOptions, ScheduledFault } from '../drawSchedule/index.js';

const MAXIMUM_FIRST_MILLISECONDS = 5_000;
const MEAN_PAUSE_MILLISECONDS = 6_000;
/** Distance from the seed of the other draws of a run. */
const SEED_OFFSET = 62_417;

/**
 * Draws silences, to be added to the schedule of the same seed.
 *
 * @param options - seed, and length in milliseconds
 * @returns the faults in the order of their starts
 * @example
 * drawSilences({ seed: 7, milliseconds: 30_000 });
 */
export function drawSilences({
  seed,
  milliseconds,
}: Pick<DrawScheduleOptions, 'seed' | 'milliseconds'>): ScheduledFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: ScheduledFault[] = [];
  let at = random() * MAXIMUM_FIRST_MILLISECONDS;
  while (at < milliseconds) {
    faults.push({ at: Math.round(at), kind: 'silenceConnections', index: 0, milliseconds: 0 });
    at -= Math.log(1 - random()) * MEAN_PAUSE_MILLISECONDS;
  }
  return faults;
}
