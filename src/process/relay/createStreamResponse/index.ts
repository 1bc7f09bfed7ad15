/**
 * The answer of one stream to its caller, which may come from several runs.
 */
import { createEventGuard, type EventVerdict } from '../../../request/guardEvents/index.js';
import type { StreamEvent } from '../../../request/splitEvents/index.js';
import type { RawHeaders } from '../../../types/relay/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import { sendFailure, sendBufferedResponse, type BufferedResponse } from '../sendFailure/index.js';
import { logAnsweredRequest } from '../logAnsweredRequest/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** How often endpoints were asked for an answer. */
export interface SendCounts {
  /** Runs that may have begun. */
  readonly sends: number;
  /** Runs that endpoints refused. */
  readonly refused: number;
}

/** Why an answer fails. */
export interface StreamFailure extends SendCounts {
  readonly reason: string;
  readonly code: ResultCodeName;
  readonly retryAfterSeconds?: number;
}

/** Answer of one stream. */
export interface StreamResponse {
  /** Whether an event was passed on. */
  readonly hasBegun: () => boolean;
  /** Number of the last event that the caller has. */
  readonly getLastEventId: () => number;
  /** Passes an event on, if it is the next one. */
  readonly forwardEvent: (event: StreamEvent, headers: RawHeaders) => EventVerdict;
  readonly endComplete: (counts: SendCounts) => void;
  /** Passes on an endpoint's own failure, where no event has been passed on. */
  readonly forwardFailure: (answer: BufferedResponse) => void;
  /** Ends with a failure; an answer that has begun is broken off, so that it can be resumed. */
  readonly fail: (failure: StreamFailure) => void;
  /** Notes that the caller went before the end. */
  readonly endDisconnected: () => void;
}

/** Options of {@link createStreamResponse}. */
export interface CreateStreamResponseOptions {
  readonly context: RelayContext;
  readonly request: RelayedRequest;
  /** Called when the caller reads too slowly, and when it has caught up. */
  readonly onFull: () => void;
  readonly onDrained: () => void;
}

/** Bytes that wait for a slow reader before the endpoint is paused. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/**
 * Creates the answer of one stream.
 *
 * @param options - the request, and what to call when its caller reads slowly
 * @returns the answer
 * @example
 * createStreamResponse({ context, request, onFull, onDrained }).forwardEvent(event, headers);
 */
export function createStreamResponse(options: CreateStreamResponseOptions): StreamResponse {
  const { context, request, onFull, onDrained } = options;
  const { clock, metrics } = context;
  const { response, route, caller, arrivedAt, log } = request;
  const guard = createEventGuard(caller.lastEventId);
  let hasBegun = false;
  let isFull = false;
  let firstAt = 0;
  let lastAt = 0;
  let longestPause = 0;

  const begin = (headers: RawHeaders): void => {
    hasBegun = true;
    firstAt = clock.now();
    lastAt = firstAt;
    response.begin(200, headers);
    const milliseconds = firstAt - arrivedAt;
    metrics.record(request.account ?? '', 'first-event', milliseconds);
    log.add('first-event', { milliseconds: Math.round(milliseconds) });
  };
  const checkReader = (): void => {
    if (isFull || response.countBufferedBytes() <= MAXIMUM_BUFFERED_BYTES) return;
    isFull = true;
    onFull();
    response.onceDrained(() => {
      isFull = false;
      onDrained();
    });
  };

  return {
    hasBegun: () => hasBegun,
    getLastEventId: guard.getLast,
    forwardEvent: ({ id, bytes }, headers) => {
      const result = guard.check(id);
      if (result !== 'pass') return result;
      if (!hasBegun) begin(headers);
      const now = clock.now();
      longestPause = Math.max(longestPause, now - lastAt);
      lastAt = now;
      response.write(bytes);
      checkReader();
      return result;
    },
    endComplete: ({ sends }) => {
      response.end();
      const first = firstAt - arrivedAt;
      const pauses = Math.max(1, guard.getLast() - caller.lastEventId - 1);
      const isSlow =
        first > route.objectiveMilliseconds || longestPause > route.longestPauseMilliseconds;
      metrics.count('streams', isSlow ? 'late' : 'in time');
      const pause = (lastAt - firstAt) / pauses;
      logAnsweredRequest(context, request, { first, pause, longestPause, sends, isSlow });
    },
    forwardFailure: (answer) => {
      sendBufferedResponse(response, answer);
      metrics.count('streams', 'endpoint failed');
      log.end(true);
    },
    endDisconnected: () => {
      const milliseconds = Math.round(clock.now() - arrivedAt);
      log.add('request-cancelled', { milliseconds, lastEvent: guard.getLast() });
      log.end(false);
      metrics.count('streams', 'gone');
    },
    fail: ({ reason, code, retryAfterSeconds, sends, refused }) => {
      metrics.count('streams', code);
      log.add('request-failed', {
        route: route.name,
        code,
        reason,
        sends,
        refused,
        lastEvent: guard.getLast(),
        milliseconds: Math.round(clock.now() - arrivedAt),
      });
      log.end(true);
      if (hasBegun) response.abort();
      else sendFailure(response, { code, retryAfterSeconds });
    },
  };
}
