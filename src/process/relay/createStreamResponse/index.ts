/**
 * Response to the caller of one stream, whose events may come from several runs.
 */
import {
  createEventGuard,
  type EventCheckResult,
} from '../../../request/createEventGuard/index.js';
import type { StreamEvent } from '../../../request/createEventSplitter/index.js';
import type { RawHeaders } from '../../../types/relay/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import { sendFailure, sendBufferedResponse, type BufferedResponse } from '../sendFailure/index.js';
import { logAnsweredRequest } from '../logAnsweredRequest/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Number of runs that were sent to endpoints. */
export interface SendCounts {
  /** Number of runs that may have begun. */
  readonly sends: number;
  /** Number of runs that endpoints refused. */
  readonly refused: number;
}

/** Failure of a stream: its reason, result code and run counts. */
export interface StreamFailure extends SendCounts {
  readonly reason: string;
  readonly code: ResultCodeName;
  readonly retryAfterSeconds?: number;
  /** Whether this node gave up the last run, while its endpoint had not ended it. */
  readonly isAbandoned: boolean;
}

/** Response of one stream. */
export interface StreamResponse {
  /** Returns whether an event was forwarded. */
  readonly hasBegun: () => boolean;
  /** Returns whether too many bytes wait for a slow caller. */
  readonly isFull: () => boolean;
  /** Returns the number of the last event that was forwarded to the caller. */
  readonly getLastEventId: () => number;
  /** Forwards an event if it is the next one. */
  readonly forwardEvent: (event: StreamEvent, headers: RawHeaders) => EventCheckResult;
  /** Ends the response after its last event. */
  readonly endComplete: (counts: SendCounts) => void;
  /** Forwards a failure response of an endpoint; only valid before the first event. */
  readonly forwardFailure: (failure: BufferedResponse) => void;
  /** Ends with a failure; aborts a response that has begun, so that the caller can resume it. */
  readonly fail: (failure: StreamFailure) => void;
  /** Records that the caller disconnected before the end. */
  readonly endDisconnected: () => void;
}

/** Options of {@link createStreamResponse}. */
export interface CreateStreamResponseOptions {
  readonly context: RelayContext;
  readonly request: RelayedRequest;
  /** Called when too many bytes wait for a slow caller. */
  readonly onFull: () => void;
  /** Called when the caller has read the waiting bytes. */
  readonly onDrained: () => void;
}

/** Number of buffered bytes above which the endpoint is paused for a slow caller. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/**
 * Creates the response of one stream.
 *
 * @param options - the request and the callbacks for a slow caller
 * @returns the response
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
  let firstEventAt = 0;
  let lastEventAt = 0;
  let longestPause = 0;

  const begin = (headers: RawHeaders): void => {
    hasBegun = true;
    firstEventAt = clock.now();
    lastEventAt = firstEventAt;
    response.begin(200, headers);
    const milliseconds = firstEventAt - arrivedAt;
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
    isFull: () => isFull,
    getLastEventId: guard.getLastId,
    forwardEvent: ({ id, bytes }, headers) => {
      const result = guard.check(id);
      if (result !== 'pass') return result;
      if (!hasBegun) begin(headers);
      const now = clock.now();
      longestPause = Math.max(longestPause, now - lastEventAt);
      lastEventAt = now;
      response.write(bytes);
      checkReader();
      return result;
    },
    endComplete: ({ sends }) => {
      response.end();
      const first = firstEventAt - arrivedAt;
      const pauses = Math.max(1, guard.getLastId() - caller.lastEventId - 1);
      const isSlow =
        first > route.objectiveMilliseconds || longestPause > route.longestPauseMilliseconds;
      metrics.count('streams', isSlow ? 'late' : 'in time');
      const pause = (lastEventAt - firstEventAt) / pauses;
      logAnsweredRequest(context, request, { first, pause, longestPause, sends, isSlow });
    },
    forwardFailure: (failure) => {
      sendBufferedResponse(response, failure);
      metrics.count('streams', 'endpoint failed');
      log.end(true);
    },
    endDisconnected: () => {
      const milliseconds = Math.round(clock.now() - arrivedAt);
      log.add('request-cancelled', { milliseconds, lastEvent: guard.getLastId() });
      log.end(false);
      metrics.count('streams', 'gone');
    },
    fail: ({ reason, code, retryAfterSeconds, isAbandoned, sends, refused }) => {
      metrics.count('streams', code);
      log.add('request-failed', {
        route: route.name,
        code,
        reason,
        sends,
        refused,
        lastEvent: guard.getLastId(),
        milliseconds: Math.round(clock.now() - arrivedAt),
      });
      log.end(true);
      if (hasBegun) response.abort(isAbandoned ? 'abandoned' : 'interrupted');
      else sendFailure(response, { code, retryAfterSeconds });
    },
  };
}
