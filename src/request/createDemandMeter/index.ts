/**
 * Demand for one service by priority, as one node observes it.
 */
import { MILLISECONDS_PER_SECOND } from '../../constants/index.js';
import type { PriorityDemand, ServiceDemand } from '../../types/admission/index.js';

/** Options of {@link createDemandMeter}. */
export interface CreateDemandMeterOptions {
  /** Time of the start in milliseconds. */
  readonly startedAt: number;
}

/** Size of a request, for {@link DemandMeter}. */
export interface DemandedRequest {
  /** Priority; a lower number is more urgent. */
  readonly priority: number;
  /** KV-cache memory that the request needs on its whole path, in token-layers. */
  readonly tokenLayers: number;
}

/** Meter of the demand for one service. */
export interface DemandMeter {
  /** Records a request that arrives, served or not. */
  readonly record: (request: DemandedRequest, now: number) => void;
  /** Records that a request begins to use capacity; returns a function to call once with the time of the end. */
  readonly hold: (request: DemandedRequest, now: number) => (now: number) => void;
  /** Returns the demand at a time in milliseconds. */
  readonly read: (now: number) => ServiceDemand;
}

/** Time constant of the decay of arrivals, in milliseconds. */
const DEMAND_DECAY_MILLISECONDS = 1_500;
/** Time over which the stay of requests is averaged, in milliseconds. */
const STAY_DECAY_MILLISECONDS = 10_000;
/** Minimum time of observation that a rate is computed from, in milliseconds. */
const MINIMUM_OBSERVED_MILLISECONDS = 300;

/** Creates a sum that decays exponentially with time. */
function createDecayingSum(decayMilliseconds: number, startedAt: number) {
  let sum = 0;
  let updatedAt = startedAt;
  const read = (now: number): number => {
    if (now > updatedAt) {
      sum *= Math.exp((updatedAt - now) / decayMilliseconds);
      updatedAt = now;
    }
    return sum;
  };
  return {
    read,
    add: (amount: number, now: number): void => {
      sum = read(now) + amount;
    },
  };
}

interface PriorityMeter {
  readonly requests: ReturnType<typeof createDecayingSum>;
  readonly tokenLayers: ReturnType<typeof createDecayingSum>;
  heldRequests: number;
  heldTokenLayers: number;
}

/**
 * Creates the meter of a service without demand.
 *
 * @param options - the time of the start
 * @returns the meter
 * @example
 * createDemandMeter({ startedAt: now }).record({ priority: 1, tokenLayers: 72_000 }, now);
 */
export function createDemandMeter({ startedAt }: CreateDemandMeterOptions): DemandMeter {
  const meters = new Map<number, PriorityMeter>();
  const stays = createDecayingSum(STAY_DECAY_MILLISECONDS, startedAt);
  const ends = createDecayingSum(STAY_DECAY_MILLISECONDS, startedAt);

  const findMeter = (priority: number): PriorityMeter => {
    const known = meters.get(priority);
    if (known) return known;
    const meter = {
      requests: createDecayingSum(DEMAND_DECAY_MILLISECONDS, startedAt),
      tokenLayers: createDecayingSum(DEMAND_DECAY_MILLISECONDS, startedAt),
      heldRequests: 0,
      heldTokenLayers: 0,
    };
    meters.set(priority, meter);
    return meter;
  };
  /** Computes the seconds that the decaying sums of arrivals stand for. */
  const computeObservedSeconds = (now: number): number => {
    const observed = Math.max(MINIMUM_OBSERVED_MILLISECONDS, now - startedAt);
    const milliseconds =
      DEMAND_DECAY_MILLISECONDS * (1 - Math.exp(-observed / DEMAND_DECAY_MILLISECONDS));
    return milliseconds / MILLISECONDS_PER_SECOND;
  };
  return {
    record: ({ priority, tokenLayers }, now) => {
      const meter = findMeter(priority);
      meter.requests.add(1, now);
      meter.tokenLayers.add(tokenLayers, now);
    },
    hold: ({ priority, tokenLayers }, now) => {
      const meter = findMeter(priority);
      meter.heldRequests += 1;
      meter.heldTokenLayers += tokenLayers;
      return (endedAt) => {
        meter.heldRequests -= 1;
        meter.heldTokenLayers -= tokenLayers;
        stays.add(Math.max(0, endedAt - now), endedAt);
        ends.add(1, endedAt);
      };
    },
    read: (now) => {
      const seconds = computeObservedSeconds(now);
      const ended = ends.read(now);
      const priorities = [...meters].map(([priority, meter]): PriorityDemand => ({
        priority,
        requestsPerSecond: meter.requests.read(now) / seconds,
        tokenLayersPerSecond: meter.tokenLayers.read(now) / seconds,
        heldRequests: meter.heldRequests,
        heldTokenLayers: Math.max(0, meter.heldTokenLayers),
      }));
      return {
        stayMilliseconds: ended > 0 ? stays.read(now) / ended : 0,
        priorities: priorities.sort((left, right) => left.priority - right.priority),
      };
    },
  };
}
