/**
 * Schedule of the store's restorations in a run, with changes and departures that they lose.
 */
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import { drawBetween } from '../drawBetween/index.js';
import type { DrawScheduleOptions, ScheduledFault } from '../drawSchedule/index.js';

const MEAN_PAUSE_MILLISECONDS = 2_000;
/** Minimum pause between two restorations; longer than one lasts. */
const MINIMUM_PAUSE_MILLISECONDS = 2_500;
const MINIMUM_AGE_MILLISECONDS = 1_000;
const MAXIMUM_AGE_MILLISECONDS = 12_000;
const MINIMUM_AWAY_MILLISECONDS = 200;
const MAXIMUM_AWAY_MILLISECONDS = 3_000;
/** Shares of restorations before which the configuration changes, and endpoints leave. */
const CHANGE_SHARE = 0.8;
const STORM_SHARE = 0.3;
/** Share of restorations during which the configuration changes, which the store accepts on its return. */
const PENDING_CHANGE_SHARE = 0.5;
const DEPARTURE_SHARE = 0.8;
/** Longest time before a restoration at which an endpoint leaves that serves beyond the restoration. */
const MAXIMUM_LEAD_MILLISECONDS = 4_000;
/** Time for which a leaving endpoint serves beyond the return of the store. */
const SERVING_MILLISECONDS = 4_000;
/** Distance from the seed of the other draws of a run. */
const SEED_OFFSET = 7_919;

/** Draws a restoration, and before it what it loses. */
function drawRestoration(random: Random, at: number, endpoints: number): ScheduledFault[] {
  const away = drawBetween(random, MINIMUM_AWAY_MILLISECONDS, MAXIMUM_AWAY_MILLISECONDS);
  const age = drawBetween(random, MINIMUM_AGE_MILLISECONDS, MAXIMUM_AGE_MILLISECONDS);
  const isChanged = random() < CHANGE_SHARE;
  const isStorm = random() < STORM_SHARE;
  const changedAt = Math.max(0, at - drawBetween(random, 0, age));
  const hasPendingChange = random() < PENDING_CHANGE_SHARE;
  const pendingAt = at + drawBetween(random, 1, away);
  const hasDeparture = random() < DEPARTURE_SHARE;
  const isDraining = random() < 0.5;
  const lead = drawBetween(random, 0, Math.min(age, MAXIMUM_LEAD_MILLISECONDS));
  const index = Math.floor(random() * endpoints);
  const restoration = { at, kind: 'restoreStore', index: 0, milliseconds: away } as const;
  const change = { at: changedAt, index: 0, milliseconds: 0 };
  const departure = {
    at: Math.max(0, at - lead),
    index,
    milliseconds: lead + away + SERVING_MILLISECONDS,
  };
  return [
    { ...restoration, ageMilliseconds: age },
    ...(isChanged
      ? [{ ...change, kind: isStorm ? 'stormConfiguration' : 'changeConfiguration' } as const]
      : []),
    ...(hasPendingChange
      ? [{ ...change, at: pendingAt, kind: 'changeConfiguration' } as const]
      : []),
    ...(hasDeparture
      ? [{ ...departure, kind: isDraining ? 'drainEndpoint' : 'withdrawEndpoint' } as const]
      : []),
  ];
}

/**
 * Draws restorations of the store, to be added to the schedule of the same seed.
 *
 * @param options - seed, length in milliseconds, and number of endpoints
 * @returns the faults in the order of their starts
 * @example
 * drawRestorations({ seed: 7, milliseconds: 30_000, endpoints: 8 });
 */
export function drawRestorations(options: Omit<DrawScheduleOptions, 'nodes'>): ScheduledFault[] {
  const { seed, milliseconds, endpoints } = options;
  const random = createRandom(seed + SEED_OFFSET);
  const faults: ScheduledFault[] = [];
  let at = 0;
  for (;;) {
    at += MINIMUM_PAUSE_MILLISECONDS - Math.log(1 - random()) * MEAN_PAUSE_MILLISECONDS;
    if (at >= milliseconds) return faults.sort((left, right) => left.at - right.at);
    faults.push(...drawRestoration(random, Math.round(at), endpoints));
  }
}
