/**
 * Run of a request: the details that are forwarded to its first endpoint.
 */
import type { EndpointCall } from '../../../types/relay/index.js';
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
    'clock' | 'endpointPort' | 'endpoints' | 'links' | 'logger' | 'random' | 'rateLimits'
  >;
  readonly request: RelayedRequest;
  readonly first: PathHop;
  readonly path: readonly PathHop[];
  /** Number of the last event that was forwarded to the caller. */
  readonly lastEventId: number;
  /** Whether this node has forwarded an event. */
  readonly hasBegun: boolean;
}

/** Priority of a run that continues a response which has begun. */
export const CONTINUATION_PRIORITY = 0;

/**
 * Opens a run of a request.
 *
 * @param options - the request, its path and the callbacks
 * @returns the call, to be aborted when its response is no longer needed
 * @example
 * const run = openRequestRun(options);
 */
export function openRequestRun(options: OpenRequestRunOptions): EndpointCall {
  const { context, request, first, path, lastEventId, hasBegun } = options;
  const { onEvent, onNonStreamResponse, onComplete, onFailed, onNotSent } = options;
  const startedAt = context.clock.now();
  return openStreamRun({
    endpointPort: context.endpointPort,
    forwarded: request.forwarded,
    attempt: request.caller.attempt,
    forwarding: {
      address: first.address,
      endpoint: first.endpoint,
      account: request.account,
      deadlineMilliseconds: request.deadlineAt - startedAt,
      priority: hasBegun ? CONTINUATION_PRIORITY : request.priority,
      path,
      lastEventId,
    },
    onMetadata: (metadata) => {
      const endpoint = context.endpoints.find(first.endpoint);
      if (endpoint) recordResponse(context, endpoint, metadata);
      context.links.record(first.endpoint, true, startedAt);
    },
    onEvent,
    onNonStreamResponse,
    onComplete,
    onFailed,
    onNotSent: (reason) => {
      context.links.record(first.endpoint, false, startedAt);
      onNotSent(reason);
    },
  });
}
