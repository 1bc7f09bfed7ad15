/**
 * Schedule of the odd entries that another writer leaves in the registry, with changes that nodes follow while the
 * entries stand, and of odd configurations.
 */
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import { drawBetween } from '../drawBetween/index.js';
import type { DrawScheduleOptions, ScheduledFault } from '../drawSchedule/index.js';

const MAXIMUM_FIRST_MILLISECONDS = 3_000;
const MEAN_PAUSE_MILLISECONDS = 3_000;
/** Shortest and longest time for which odd entries stand. */
const MINIMUM_STANDING_MILLISECONDS = 1_000;
const MAXIMUM_STANDING_MILLISECONDS = 5_000;
const MINIMUM_ENTRIES = 4;
const MAXIMUM_ENTRIES = 8;
/** Shares of writings during which the configuration changes, and an endpoint leaves the registry. */
const CHANGE_SHARE = 0.7;
const DEPARTURE_SHARE = 0.4;
/** Share of writings after which an odd configuration stands for a time, until the next good one. */
const ODD_CONFIGURATION_SHARE = 0.4;
const MINIMUM_ODD_CONFIGURATION_MILLISECONDS = 300;
const MAXIMUM_ODD_CONFIGURATION_MILLISECONDS = 3_000;
/** Time for which an endpoint that has left the registry serves on. */
const SERVING_MILLISECONDS = 4_000;
/** Distance from the seed of the other draws of a run. */
const SEED_OFFSET = 15_551;

/** Draws one writing, and the changes while its entries stand. */
function drawWriting(
  random: Random,
  at: number,
  number: number,
  endpoints: number,
): ScheduledFault[] {
  const milliseconds = drawBetween(
    random,
    MINIMUM_STANDING_MILLISECONDS,
    MAXIMUM_STANDING_MILLISECONDS,
  );
  const count = drawBetween(random, MINIMUM_ENTRIES, MAXIMUM_ENTRIES);
  const choices = Array.from({ length: count }, () => random());
  const isChanged = random() < CHANGE_SHARE;
  const changedAt = at + drawBetween(random, 1, milliseconds);
  const hasDeparture = random() < DEPARTURE_SHARE;
  const kind = random() < 0.5 ? 'drainEndpoint' : 'withdrawEndpoint';
  const departure = {
    kind,
    at: at + drawBetween(random, 1, milliseconds),
    index: Math.floor(random() * endpoints),
    milliseconds: SERVING_MILLISECONDS,
  } as const;
  const hasOddConfiguration = random() < ODD_CONFIGURATION_SHARE;
  const oddConfiguration = {
    kind: 'writeOddConfiguration',
    at: at + drawBetween(random, 1, milliseconds),
    index: 0,
    milliseconds: drawBetween(
      random,
      MINIMUM_ODD_CONFIGURATION_MILLISECONDS,
      MAXIMUM_ODD_CONFIGURATION_MILLISECONDS,
    ),
    choices: [random()],
  } as const;
  return [
    { at, kind: 'writeOddEntries', index: number, milliseconds, choices },
    ...(isChanged
      ? [{ at: changedAt, kind: 'changeConfiguration', index: 0, milliseconds: 0 } as const]
      : []),
    ...(hasDeparture ? [departure] : []),
    ...(hasOddConfiguration ? [oddConfiguration] : []),
  ];
}

/**
 * Draws writings of odd entries, to be added to the schedule of the same seed.
 *
 * @param options - seed, length in milliseconds, and number of endpoints
 * @returns the faults in the order of their starts
 * @example
 * drawOddEntries({ seed: 7, milliseconds: 30_000, endpoints: 8 });
 */
export function drawOddEntries(options: Omit<DrawScheduleOptions, 'nodes'>): ScheduledFault[] {
  const { seed, milliseconds, endpoints } = options;
  const random = createRandom(seed + SEED_OFFSET);
  const faults: ScheduledFault[] = [];
  let at = random() * MAXIMUM_FIRST_MILLISECONDS;
  for (let number = 0; at < milliseconds; number += 1) {
    faults.push(...drawWriting(random, Math.round(at), number, endpoints));
    at -= Math.log(1 - random()) * MEAN_PAUSE_MILLISECONDS;
  }
  return faults.sort((left, right) => left.at - right.at);
}
