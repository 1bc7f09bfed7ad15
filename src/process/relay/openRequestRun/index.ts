/**
 * Run of a request: the details that are forwarded to its first endpoint.
 */
import type { EndpointCall, ForwardingDetails } from '../../../types/relay/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { openStreamRun, type OpenStreamRunOptions } from '../openStreamRun/index.js';
import { recordResponse } from '../recordResponse/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link openRequestRun}. */
export interface OpenRequestRunOptions extends Pick<
  OpenStreamRunOptions,
  'onEvent' | 'onNonStreamResponse' | 'onComplete' | 'onFailed' | 'onNotSent'
> {
  readonly context: Pick<
    RelayContext,
    | 'clock'
    | 'endpointPort'
    | 'endpoints'
    | 'links'
    | 'logger'
    | 'neighbours'
    | 'random'
    | 'rateLimits'
  >;
  readonly request: RelayedRequest;
  readonly first: PathHop;
  readonly path: readonly PathHop[];
  /** Whether the first hop is another node, which chooses the path. */
  readonly isNeighbour: boolean;
  /** Number of the last event that was forwarded to the caller. */
  readonly lastEventId: number;
  /** Whether this node has forwarded an event. */
  readonly hasBegun: boolean;
  /** Whether a run of the request has reached an endpoint before. */
  readonly isRepeat: boolean;
}

/** Priority of a run that continues a response which has begun. */
export const CONTINUATION_PRIORITY = 0;

/** Creates the details that are forwarded to the first endpoint of the path. */
function createForwarding(
  { request, first, path, lastEventId, hasBegun }: OpenRequestRunOptions,
  now: number,
): ForwardingDetails {
  return {
    address: first.address,
    endpoint: first.endpoint,
    account: request.account,
    deadlineMilliseconds: request.deadlineAt - now,
    priority: hasBegun ? CONTINUATION_PRIORITY : request.priority,
    path,
    lastEventId,
  };
}

/**
 * Opens a run of a request.
 *
 * @param options - the request, its path and the callbacks
 * @returns the call, to be aborted when its response is no longer needed
 * @example
 * const run = openRequestRun(options);
 */
export function openRequestRun(options: OpenRequestRunOptions): EndpointCall {
  const { context, request, first, lastEventId, isNeighbour, isRepeat } = options;
  const { onEvent, onNonStreamResponse, onComplete, onFailed, onNotSent } = options;
  const { clock, endpoints, links } = context;
  const { attempt } = request.caller;
  const startedAt = clock.now();
  const common = { attempt, onEvent, onNonStreamResponse, onComplete, onFailed };
  if (isNeighbour) {
    const deadlineMilliseconds = request.deadlineAt - startedAt;
    const { address } = first;
    const { configurationVersion } = request;
    const details = {
      address,
      attempt,
      deadlineMilliseconds,
      lastEventId,
      isRepeat,
      configurationVersion,
    };
    return openStreamRun({
      ...common,
      send: (handlers) => context.neighbours.send(request.forwarded, details, handlers),
      // What the endpoint says of itself is for the node that sent it the request.
      onMetadata: () => undefined,
      onNotSent,
    });
  }
  const forwarding = createForwarding(options, startedAt);
  return openStreamRun({
    ...common,
    send: (handlers) => context.endpointPort.send(request.forwarded, forwarding, handlers),
    onMetadata: (metadata) => {
      const endpoint = endpoints.find(first.endpoint);
      if (endpoint) recordResponse(context, endpoint, metadata);
      links.record(first.endpoint, true, startedAt);
    },
    onNotSent: (reason) => {
      links.record(first.endpoint, false, startedAt);
      onNotSent(reason);
    },
  });
}
