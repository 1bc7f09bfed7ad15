/**
 * Path selection for the runs of one stream, which takes the failures of earlier runs into account.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { TokenEstimate } from '../../../request/estimateTokens/index.js';
import { computePermitWaitLimit } from '../../../request/computePermitWaitLimit/index.js';
import { findRetryTime } from '../../../request/findRetryTime/index.js';
import type { EndpointRecord, PathHop } from '../../../types/site/index.js';
import { acquirePermit } from '../acquirePermit/index.js';
import type { ResponseHead } from '../../../types/relay/index.js';
import { recordFailure } from '../recordFailure/index.js';
import { selectPath } from '../selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link StreamPaths.acquirePermit}. */
export interface StreamPermitOptions {
  readonly size: TokenEstimate;
  /** Priority from 0, the most urgent, to 9. */
  readonly priority: number;
}

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
  /** Returns whether a run on a path needs a permit, as its first endpoint has a rate limit. */
  readonly needsPermit: (path: ChosenPath) => boolean;
  /**
   * Asks for the permit of a path's first endpoint; resolves to whether the run may start now. The next paths do not
   * begin at an endpoint that has denied it.
   */
  readonly acquirePermit: (path: ChosenPath, options: StreamPermitOptions) => Promise<boolean>;
  /** Returns whether an endpoint has denied a permit since the last run. */
  readonly wasDenied: () => boolean;
  /** Records that a run failed at its first endpoint. */
  readonly recordFailedRun: (first: PathHop, reason: string) => void;
  /** Records that a run did not reach its first endpoint. */
  readonly recordNotSent: (first: PathHop, reason: string) => void;
  /** Records that an endpoint, or another node, refused a run; returns its identifier if it is known. */
  readonly recordRefusal: (
    hops: readonly PathHop[],
    refusal: Pick<ResponseHead, 'status' | 'metadata'>,
  ) => string | undefined;
  /**
   * Finds the time after which another node that refused the request, or an endpoint that asked for fewer requests,
   * accepts one, in milliseconds; undefined when there is none.
   */
  readonly findRetryTime: () => number | undefined;
  /** Records a complete run for each endpoint of its path. */
  readonly recordSuccess: (hops: readonly PathHop[]) => void;
  /** Returns the first hop whose endpoint is marked as lost. */
  readonly findLost: (hops: readonly PathHop[]) => PathHop | undefined;
}

/** Prefix of the identifier of a hop that is another node. */
const NEIGHBOUR_HOP_PREFIX = 'node/';
/** Maximum number of nodes that a request is handed over to, one after the other. */
const MAXIMUM_HAND_OVERS = 2;
/** Predicted times of a run through another node, which chooses the path. */
const NEIGHBOUR_TIMES = { firstEventMilliseconds: 150, pauseMilliseconds: 75 } as const;
/** Endpoints that are asked for a permit before one run; after that, paths begin only at others. */
const MAXIMUM_DENIALS = 4;
/** Time for which an endpoint that refused a run gets no requests, in milliseconds. */
const REFUSAL_AVOID_MILLISECONDS = 200;

/**
 * Creates the path selection for one stream.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param hasBegun - returns whether the response has begun, so that runs continue it
 * @returns the path selection
 * @example
 * createStreamPaths(context, request).select(size)?.hops;
 */
export function createStreamPaths(
  context: RelayContext,
  request: RelayedRequest,
  hasBegun: () => boolean = () => false,
): StreamPaths {
  const { clock, endpoints, neighbours, permits, prober } = context;
  /** Endpoints that refused a run of this stream or could not be reached. */
  const avoidedEndpoints = new Set<string>();
  /** Endpoints that have denied a permit since the last run. */
  const denied = new Set<string>();
  /** First endpoint of the last run, if the run failed there. */
  let failedFirstEndpoint: string | undefined;

  /** Records that another node did not answer the request; returns whether the hop is one. */
  const recordNeighbour = ({ endpoint }: PathHop): boolean => {
    if (!endpoint.startsWith(NEIGHBOUR_HOP_PREFIX)) return false;
    triedNeighbours.add(endpoint.slice(NEIGHBOUR_HOP_PREFIX.length));
    return true;
  };
  const recordFirstHopFailure = (first: PathHop, reason: string): void => {
    const endpoint = endpoints.find(first.endpoint);
    if (endpoint) recordFailure(context, endpoint);
    void prober.probe(first.endpoint, reason);
  };

  /** Nodes that the request was handed over to, and the time after which one of them asks to retry. */
  const triedNeighbours = new Set<string>();
  let neighbourRetryMilliseconds: number | undefined;
  let hasFailedToConnect = false;
  const selectNeighbour = (): ChosenPath | undefined => {
    if (request.isHandedOver || triedNeighbours.size >= MAXIMUM_HAND_OVERS) return undefined;
    const neighbour = neighbours.pick(triedNeighbours);
    if (!neighbour) return undefined;
    const range = { from: 0, to: request.service.model?.layers ?? 0 };
    const { name, peerAddress: address } = neighbour;
    const hop = { endpoint: `${NEIGHBOUR_HOP_PREFIX}${name}`, address, range };
    return { hops: [hop], neighbour, ...NEIGHBOUR_TIMES };
  };
  /** Selects another node where this one is cut off; a path of its own, or another node where there is none. */
  const selectOwnOrNeighbour = (
    selectOwn: () => ChosenPath | undefined,
  ): ChosenPath | undefined => {
    const preferred = neighbours.arePreferred(hasFailedToConnect) ? selectNeighbour() : undefined;
    const path = preferred ?? selectOwn();
    if (path || denied.size > 0) return path;
    return neighbours.mayReachMore(request.service.name) ? selectNeighbour() : undefined;
  };

  const findLimit = ({ hops }: ChosenPath) => {
    const endpoint = endpoints.find(hops[0]?.endpoint ?? '')?.record;
    const limit = endpoint && permits.findLimit(endpoint);
    return limit && { endpoint, limit };
  };
  const mayStart = (record: EndpointRecord): boolean => {
    if (denied.has(record.id)) return false;
    return denied.size < MAXIMUM_DENIALS || !permits.findLimit(record);
  };
  const selectOwnWithout = (
    excluded: readonly string[],
    size: TokenEstimate,
  ): ChosenPath | undefined =>
    selectPath(context, request, {
      ...size,
      excluded: new Set([...avoidedEndpoints, ...excluded]),
      mayStart,
      isContinuation: hasBegun(),
    });
  /** Computes how long a run may wait for a path's first endpoint: no longer than until another path responds. */
  const computeWaitLimit = (
    path: ChosenPath,
    endpoint: EndpointRecord,
    { size, priority }: StreamPermitOptions,
  ): number => {
    const remainingMilliseconds = request.deadlineAt - clock.now();
    const limit = computePermitWaitLimit({ priority, remainingMilliseconds });
    const other = selectPath(context, request, {
      ...size,
      excluded: avoidedEndpoints,
      mayStart: (record) => record.id !== endpoint.id && mayStart(record),
      isContinuation: hasBegun(),
    });
    if (!other) return limit;
    // The predicted time of a path includes the wait that is expected at its first endpoint.
    const gained = other.firstEventMilliseconds - path.firstEventMilliseconds;
    return Math.max(0, Math.min(limit, gained + permits.estimateWait(endpoint)));
  };

  return {
    // Prefers a path without the endpoint at which the last run failed.
    select: (size) => {
      const failedEndpoint = failedFirstEndpoint;
      failedFirstEndpoint = undefined;
      return selectOwnOrNeighbour(() => {
        const otherPath =
          failedEndpoint === undefined ? undefined : selectOwnWithout([failedEndpoint], size);
        return otherPath ?? selectOwnWithout([], size);
      });
    },
    selectWithoutEndpoints: (excluded, size) =>
      selectOwnOrNeighbour(() => selectOwnWithout(excluded, size)),
    // A node that is cut off cannot ask the first endpoint to move a run.
    selectWithFirstHop: (firstHop, size) =>
      neighbours.arePreferred(hasFailedToConnect)
        ? undefined
        : selectPath(context, request, {
            ...size,
            excluded: avoidedEndpoints,
            firstHop,
            isContinuation: hasBegun(),
          }),
    needsPermit: (path) => findLimit(path) !== undefined,
    acquirePermit: async (path, options) => {
      const limited = findLimit(path);
      if (!limited) return true;
      const maximumWaitMilliseconds = computeWaitLimit(path, limited.endpoint, options);
      const permit = { ...limited, maximumWaitMilliseconds };
      const isGranted = await acquirePermit(context, request, permit);
      if (isGranted) denied.clear();
      else denied.add(limited.endpoint.id);
      return isGranted;
    },
    wasDenied: () => denied.size > 0,
    findRetryTime: () =>
      neighbourRetryMilliseconds ??
      findRetryTime({
        endpoints: endpoints.list(),
        service: request.service.name,
        estimateWait: permits.estimateWait,
        now: clock.now(),
      }),
    recordFailedRun: (first, reason) => {
      if (recordNeighbour(first)) return;
      recordFirstHopFailure(first, reason);
      failedFirstEndpoint = first.endpoint;
    },
    recordNotSent: (first, reason) => {
      if (recordNeighbour(first)) return;
      hasFailedToConnect = true;
      recordFirstHopFailure(first, reason);
      avoidedEndpoints.add(first.endpoint);
    },
    recordRefusal: (hops, { status, metadata: { failedAddress, backoff } }) => {
      const [first] = hops;
      if (first && recordNeighbour(first)) {
        if (backoff?.kind === 'timed') neighbourRetryMilliseconds = backoff.milliseconds;
        return first.endpoint;
      }
      const namedEndpoint =
        failedAddress === undefined ? undefined : endpoints.findByAddress(failedAddress);
      const refusingEndpoint = namedEndpoint ?? endpoints.find(hops[0]?.endpoint ?? '');
      if (!refusingEndpoint) return undefined;
      const { id } = refusingEndpoint.record;
      context.metrics.count('refused_arrivals', request.service.name);
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
