/**
 * Choice of the endpoint for a request that one endpoint serves completely.
 */
import type { Endpoint } from '../../connection/createEndpointTable/index.js';

/** Options of {@link chooseEndpoint}. */
export interface ChooseEndpointOptions {
  readonly candidates: readonly Endpoint[];
  /** Endpoints that this request has already tried. */
  readonly excluded: ReadonlySet<string>;
  readonly availabilityZone: string;
  /** Estimates the time until an endpoint may get a request, in milliseconds. */
  readonly estimateWait: (endpoint: Endpoint) => number;
  readonly now: number;
  readonly random: () => number;
}

/** How long a load report of an endpoint is used, in milliseconds. */
const LOAD_REPORT_LIFETIME_MILLISECONDS = 500;
/** Cost of a call to another availability zone, as a share of the slots. */
const ZONE_PENALTY = 0.2;
const FAILURE_PENALTY = 0.5;
const JITTER = 0.05;
/** Cost of a millisecond until a request may be sent, as a share of the slots. */
const WAIT_PENALTY_PER_MILLISECOND = 0.02;

function estimateLoad(endpoint: Endpoint, now: number): number {
  const { localRequests, remoteRequests, running, waiting, loadReadAt, record } = endpoint;
  const isFresh = now - loadReadAt < LOAD_REPORT_LIFETIME_MILLISECONDS;
  const routedRequests = localRequests + remoteRequests;
  const load = isFresh ? Math.max(routedRequests, running + waiting) : routedRequests;
  return load / Math.max(1, record.slots);
}

/**
 * Chooses the endpoint with the lowest load, preferring the local availability zone when loads are similar.
 *
 * @param options - the candidates with their known load, and the endpoints already tried
 * @returns the endpoint, or undefined when there is none
 * @example
 * chooseEndpoint({ candidates, excluded: new Set(), availabilityZone: 'mission', now, random });
 */
export function chooseEndpoint(options: ChooseEndpointOptions): Endpoint | undefined {
  const { candidates, excluded, availabilityZone, estimateWait, now, random } = options;
  let best: Endpoint | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const endpoint of candidates) {
    if (excluded.has(endpoint.record.id)) continue;
    const zonePenalty = endpoint.record.availabilityZone === availabilityZone ? 0 : ZONE_PENALTY;
    const failurePenalty = endpoint.failures * FAILURE_PENALTY;
    const waitPenalty = estimateWait(endpoint) * WAIT_PENALTY_PER_MILLISECOND;
    const penalties = zonePenalty + failurePenalty + waitPenalty;
    const cost = estimateLoad(endpoint, now) + penalties + JITTER * random();
    if (cost >= lowestCost) continue;
    lowestCost = cost;
    best = endpoint;
  }
  return best;
}
