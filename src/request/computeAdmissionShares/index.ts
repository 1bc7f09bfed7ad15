/**
 * Shares of a service's capacity that the requests of each priority may fill.
 */
import { MILLISECONDS_PER_SECOND } from '../../constants/index.js';
import type { PriorityDemand, ServiceDemand } from '../../types/admission/index.js';

/** Capacity of a service. */
export interface ServiceCapacity {
  /** Number of requests that may run at the same time. */
  readonly slots: number;
  /** KV-cache memory of all requests, in token-layers. */
  readonly tokenLayers: number;
}

/** Options of {@link computeAdmissionShares}. */
export interface ComputeAdmissionSharesOptions {
  /** Demand of all nodes together. */
  readonly demand: ServiceDemand;
  readonly capacity: ServiceCapacity;
  /** Shares of the previous round by priority, if any. */
  readonly previous?: ReadonlyMap<number, number>;
}

/** Share that the least urgent requests may always fill, so that they do not starve. */
export const MINIMUM_SHARE = 0.15;
/**
 * Factor on the demand of more urgent priorities: arrivals vary by chance, and those of a beginning burst are not
 * counted completely yet.
 */
const DEMAND_FACTOR = 1.15;
/**
 * Time for which capacity is reserved ahead, in seconds: the time until other nodes know of an arrival and running
 * requests have ended.
 */
const RESERVED_SECONDS = 1;
/** Maximum increase of a share in one round; decreases apply at once. */
const MAXIMUM_INCREASE = 0.1;
/** Change below which a share stays as it is. */
const MINIMUM_CHANGE = 0.02;

/**
 * Computes the part of a capacity that a priority is expected to need beyond what it holds, within the time for which
 * capacity is reserved. What it needs in a steady state is what arrives in the time that a request stays.
 */
function computeOutstandingPart(
  perSecond: number,
  held: number,
  staySeconds: number,
  capacity: number,
): number {
  if (capacity <= 0 || staySeconds <= 0) return 0;
  const outstanding = Math.max(0, perSecond * staySeconds * DEMAND_FACTOR - held);
  return (outstanding * Math.min(1, RESERVED_SECONDS / staySeconds)) / capacity;
}

/** Computes the part of the scarcer one of slots and memory that a priority is expected to need beyond what it holds. */
function computeReserve(
  demand: PriorityDemand,
  staySeconds: number,
  { slots, tokenLayers }: ServiceCapacity,
): number {
  const { requestsPerSecond, heldRequests, tokenLayersPerSecond, heldTokenLayers } = demand;
  return Math.max(
    computeOutstandingPart(requestsPerSecond, heldRequests, staySeconds, slots),
    computeOutstandingPart(tokenLayersPerSecond, heldTokenLayers, staySeconds, tokenLayers),
  );
}

/** Applies a share with hysteresis, so that shares do not oscillate with chance arrivals. */
function applyHysteresis(share: number, before: number | undefined): number {
  if (before === undefined) return share;
  if (Math.abs(share - before) < MINIMUM_CHANGE && share < 1) return before;
  return Math.min(share, before + MAXIMUM_INCREASE);
}

/**
 * Computes the share of slots and of memory that the requests of each priority may fill.
 *
 * A priority may fill all but what more urgent ones are expected to need beyond what they hold. The most urgent one may
 * fill everything. The same facts give the same shares on all nodes.
 *
 * @param options - the demand by priority, the capacity and the shares of the previous round
 * @returns shares from `MINIMUM_SHARE` to 1 by priority; a less urgent priority never has a larger one
 * @example
 * computeAdmissionShares({ demand, capacity }).get(3); // 0.8
 */
export function computeAdmissionShares(
  options: ComputeAdmissionSharesOptions,
): Map<number, number> {
  const { demand, capacity, previous } = options;
  const staySeconds = demand.stayMilliseconds / MILLISECONDS_PER_SECOND;
  const ascending = [...demand.priorities].sort((left, right) => left.priority - right.priority);
  const shares = new Map<number, number>();
  let reserved = 0;
  let maximum = 1;
  for (const [index, priorityDemand] of ascending.entries()) {
    const { priority } = priorityDemand;
    const target = Math.max(MINIMUM_SHARE, 1 - reserved);
    const share = index === 0 ? 1 : applyHysteresis(target, previous?.get(priority));
    maximum = Math.min(maximum, share);
    shares.set(priority, maximum);
    reserved += computeReserve(priorityDemand, staySeconds, capacity);
  }
  return shares;
}
