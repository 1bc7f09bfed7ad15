/**
 * Schedule of the rate limits that endpoints announce for a time.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import { drawBetween } from '../drawBetween/index.js';
import type { DrawScheduleOptions, ScheduledFault } from '../drawSchedule/index.js';

const MAXIMUM_FIRST_MILLISECONDS = 2_000;
const MEAN_PAUSE_MILLISECONDS = 5_000;
/** Shortest and longest time for which a limit stands: longer than nodes have to learn it. */
const MINIMUM_STANDING_MILLISECONDS = 6_000;
const MAXIMUM_STANDING_MILLISECONDS = 12_000;
/** Distance from the seed of the other draws of a run. */
const SEED_OFFSET = 27_644;

/**
 * Draws rate limits, to be added to the schedule of the same seed.
 *
 * @param options - seed, length in milliseconds, and number of endpoints
 * @returns the faults in the order of their starts
 * @example
 * drawRateLimits({ seed: 7, milliseconds: 30_000, endpoints: 8 });
 */
export function drawRateLimits(options: Omit<DrawScheduleOptions, 'nodes'>): ScheduledFault[] {
  const { seed, milliseconds, endpoints } = options;
  const random = createRandom(seed + SEED_OFFSET);
  const faults: ScheduledFault[] = [];
  let at = random() * MAXIMUM_FIRST_MILLISECONDS;
  while (at < milliseconds) {
    faults.push({
      at: Math.round(at),
      kind: 'limitEndpoint',
      index: Math.floor(random() * endpoints),
      milliseconds: drawBetween(
        random,
        MINIMUM_STANDING_MILLISECONDS,
        MAXIMUM_STANDING_MILLISECONDS,
      ),
    });
    at -= Math.log(1 - random()) * MEAN_PAUSE_MILLISECONDS;
  }
  return faults;
}
