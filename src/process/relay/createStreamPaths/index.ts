/**
 * Path selection for the runs of one stream, which takes the failures of earlier runs into account.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { TokenEstimate } from '../../../request/estimateTokens/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { recordFailure } from '../recordFailure/index.js';
import { selectPath } from '../selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Path selection for one stream. */
export interface StreamPaths {
  /** Selects a path for the next run; undefined when none has enough free memory. */
  readonly select: (size: TokenEstimate) => ChosenPath | undefined;
  /** Selects a path that avoids endpoints; undefined when none has enough free memory. */
  readonly selectWithoutEndpoints: (
    excluded: readonly string[],
    size: TokenEstimate,
  ) => ChosenPath | undefined;
  /** Selects a path with a given first hop; undefined when none has enough free memory. */
  readonly selectWithFirstHop: (
    firstHop: PathHop | undefined,
    size: TokenEstimate,
  ) => ChosenPath | undefined;
  /** Records that a run failed at its first endpoint. */
  readonly recordFailedRun: (first: PathHop, reason: string) => void;
  /** Records that a run did not reach its first endpoint. */
  readonly recordNotSent: (first: PathHop, reason: string) => void;
  /** Records that an endpoint refused a run; returns its identifier if it is known. */
  readonly recordRefusal: (
    hops: readonly PathHop[],
    status: number,
    failedAddress: string | undefined,
  ) => string | undefined;
  /** Records a complete run for each endpoint of its path. */
  readonly recordSuccess: (hops: readonly PathHop[]) => void;
  /** Returns the first hop whose endpoint is marked as lost. */
  readonly findLost: (hops: readonly PathHop[]) => PathHop | undefined;
}

/** Time for which an endpoint that refused a run gets no requests, in milliseconds. */
const REFUSAL_AVOID_MILLISECONDS = 200;

/**
 * Creates the path selection for one stream.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @returns the path selection
 * @example
 * createStreamPaths(context, request).select(size)?.hops;
 */
export function createStreamPaths(context: RelayContext, request: RelayedRequest): StreamPaths {
  const { clock, endpoints, prober } = context;
  /** Endpoints that refused a run of this stream or could not be reached. */
  const avoidedEndpoints = new Set<string>();
  /** First endpoint of the last run, if the run failed there. */
  let failedFirstEndpoint: string | undefined;

  const recordFirstHopFailure = (first: PathHop, reason: string): void => {
    const endpoint = endpoints.find(first.endpoint);
    if (endpoint) recordFailure(context, endpoint);
    void prober.probe(first.endpoint, reason);
  };

  const selectWithoutEndpoints: StreamPaths['selectWithoutEndpoints'] = (excluded, size) =>
    selectPath(context, request, {
      ...size,
      excluded: new Set([...avoidedEndpoints, ...excluded]),
    });

  return {
    // Prefers a path without the endpoint at which the last run failed.
    select: (size) => {
      const failedEndpoint = failedFirstEndpoint;
      failedFirstEndpoint = undefined;
      const otherPath =
        failedEndpoint === undefined ? undefined : selectWithoutEndpoints([failedEndpoint], size);
      return otherPath ?? selectPath(context, request, { ...size, excluded: avoidedEndpoints });
    },
    selectWithoutEndpoints,
    selectWithFirstHop: (firstHop, size) =>
      selectPath(context, request, { ...size, excluded: avoidedEndpoints, firstHop }),
    recordFailedRun: (first, reason) => {
      recordFirstHopFailure(first, reason);
      failedFirstEndpoint = first.endpoint;
    },
    recordNotSent: (first, reason) => {
      recordFirstHopFailure(first, reason);
      avoidedEndpoints.add(first.endpoint);
    },
    recordRefusal: (hops, status, failedAddress) => {
      const namedEndpoint =
        failedAddress === undefined ? undefined : endpoints.findByAddress(failedAddress);
      const refusingEndpoint = namedEndpoint ?? endpoints.find(hops[0]?.endpoint ?? '');
      if (!refusingEndpoint) return undefined;
      const { id } = refusingEndpoint.record;
      avoidedEndpoints.add(id);
      void prober.probe(id, `status ${status}`);
      endpoints.avoid(refusingEndpoint, clock.now(), REFUSAL_AVOID_MILLISECONDS);
      return id;
    },
    recordSuccess: (hops) => {
      for (const hop of hops) {
        const endpoint = endpoints.find(hop.endpoint);
        if (endpoint) endpoints.recordSuccess(endpoint);
      }
    },
    findLost: (hops) => {
      const now = clock.now();
      return hops.find(({ endpoint }) => (endpoints.find(endpoint)?.lostUntil ?? 0) > now);
    },
  };
}
