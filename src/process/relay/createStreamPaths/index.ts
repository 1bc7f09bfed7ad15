/**
 * Paths for the runs of one stream, by what earlier runs met.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { RequestSize } from '../../../request/estimateSize/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { recordFailure } from '../recordFailure/index.js';
import { selectPath } from '../selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Choice of paths for one stream. */
export interface StreamPaths {
  /** A path for the next run, if one has room. */
  readonly select: (size: RequestSize) => ChosenPath | undefined;
  /** A path that does not begin at an endpoint, if one has room. */
  readonly selectWithoutFirstHop: (endpoint: string, size: RequestSize) => ChosenPath | undefined;
  /** A path that keeps its first hop, if one has room. */
  readonly selectWithFirstHop: (
    firstHop: PathHop | undefined,
    size: RequestSize,
  ) => ChosenPath | undefined;
  /** Notes that a run broke off at its first endpoint. */
  readonly recordFailedRun: (first: PathHop, reason: string) => void;
  /** Notes that a run did not reach its first endpoint. */
  readonly recordNotSent: (first: PathHop, reason: string) => void;
  /** Notes that an endpoint refused a run; returns the endpoint, if it is known. */
  readonly recordRefusal: (
    hops: readonly PathHop[],
    status: number,
    failedAddress: string | undefined,
  ) => string | undefined;
  readonly recordSuccess: (hops: readonly PathHop[]) => void;
  /** First hop through an endpoint that is known to be lost. */
  readonly findLost: (hops: readonly PathHop[]) => PathHop | undefined;
}

/** How long an endpoint that refused a run is left alone, in milliseconds. */
const REFUSAL_AVOID_MILLISECONDS = 200;

/**
 * Creates the choice of paths for one stream.
 *
 * @param context - services of the process
 * @param request - the request
 * @returns the choice
 * @example
 * createStreamPaths(context, request).select(size)?.hops;
 */
export function createStreamPaths(context: RelayContext, request: RelayedRequest): StreamPaths {
  const { clock, endpoints, examiner } = context;
  const refusedBy = new Set<string>();
  /** First endpoint of the last run, if it broke off there. */
  let failedFirstEndpoint: string | undefined;

  const recordFirstHopFailure = (first: PathHop, reason: string): void => {
    const endpoint = endpoints.find(first.endpoint);
    if (endpoint) recordFailure(context, endpoint);
    void examiner.examine(first.endpoint, reason);
  };

  const selectWithoutFirstHop: StreamPaths['selectWithoutFirstHop'] = (endpoint, size) =>
    selectPath(context, request, { ...size, excluded: new Set([...refusedBy, endpoint]) });

  return {
    // A path that does not begin where the last run broke off, unless there is no other.
    select: (size) => {
      const failedEndpoint = failedFirstEndpoint;
      failedFirstEndpoint = undefined;
      const otherPath =
        failedEndpoint === undefined ? undefined : selectWithoutFirstHop(failedEndpoint, size);
      return otherPath ?? selectPath(context, request, { ...size, excluded: refusedBy });
    },
    selectWithoutFirstHop,
    selectWithFirstHop: (firstHop, size) =>
      selectPath(context, request, { ...size, excluded: refusedBy, firstHop }),
    recordFailedRun: (first, reason) => {
      recordFirstHopFailure(first, reason);
      failedFirstEndpoint = first.endpoint;
    },
    recordNotSent: (first, reason) => {
      recordFirstHopFailure(first, reason);
      refusedBy.add(first.endpoint);
    },
    recordRefusal: (hops, status, failedAddress) => {
      const named =
        failedAddress === undefined ? undefined : endpoints.findByAddress(failedAddress);
      const refusing = named ?? endpoints.find(hops[0]?.endpoint ?? '');
      if (!refusing) return undefined;
      const { id } = refusing.record;
      refusedBy.add(id);
      void examiner.examine(id, `status ${status}`);
      endpoints.avoid(refusing, clock.now(), REFUSAL_AVOID_MILLISECONDS);
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
