/**
 * HTTP handler that reads callers' requests and passes them to the relay.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeaderTranslator, RequestMetadata } from '../../../types/relay/index.js';
import { describeError } from '../../describeError/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { AdmissionRefusal } from '../admitRequest/index.js';
import { sendFailure } from '../sendFailure/index.js';
import { createBodyMemoryLimit } from '../createBodyMemoryLimit/index.js';
import { createCallerResponse } from '../createCallerResponse/index.js';
import type { Relay } from '../createRelay/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';
import { readBody, type BodyOutcome } from '../readBody/index.js';

/** Options of {@link createCallerHandler}. */
export interface CreateCallerHandlerOptions {
  readonly relay: Relay;
  readonly headerTranslator: Pick<HeaderTranslator, 'parseRequestHeaders'>;
  readonly logger: SiteLogger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly now: () => number;
  readonly isLeaving: () => boolean;
}

/** HTTP handler of callers' requests. */
export interface CallerHandler {
  readonly handle: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Returns the number of requests whose response has not been sent completely. */
  readonly countOpen: () => number;
  /** Logs and counts each request without a final response, before the process exits. */
  readonly recordUnanswered: () => void;
}

/** Request whose response is not complete. */
interface OpenRequest {
  readonly attempt: string;
  readonly arrivedAt: number;
  readonly response: ServerResponse;
}

/** Why the connection of a request ends without a complete response. */
type UnansweredCause = 'crashed' | 'stopped';

/** Maximum memory of all request bodies together. */
const MAXIMUM_BODY_BYTES = 67_108_864;
/** `Retry-After` when there is no memory for the body, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 0.5;

const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyOutcome['kind'], 'complete' | 'disconnected'>, Omit<AdmissionRefusal, 'kind'>>
> = {
  tooLarge: { code: 'bodyTooLarge' },
  timeout: { code: 'bodyTimeout' },
  noMemory: { code: 'overloaded', retryAfterSeconds: NO_MEMORY_RETRY_SECONDS },
};

/**
 * Resolves when what has arrived on all connections is read: the event loop reads the end of a connection
 * one turn after the bytes before it.
 */
function waitForPendingReads(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });
}

/** Bytes of one header line in addition to its name and value: colon, space, CR and LF. */
const HEADER_SEPARATOR_BYTES = 4;

function countHeaderBytes({ rawHeaders, method = '', url = '' }: IncomingMessage): number {
  const text = rawHeaders.reduce((sum, { length }) => sum + length, method.length + url.length);
  return text + (rawHeaders.length / 2) * HEADER_SEPARATOR_BYTES;
}

/**
 * Creates the handler of callers' requests.
 *
 * @param options - the relay and the dependencies that read requests and log refusals
 * @returns the handler
 * @example
 * createServer(createCallerHandler(options).handle);
 */
export function createCallerHandler(options: CreateCallerHandlerOptions): CallerHandler {
  const { relay, headerTranslator, logger, metrics, now, isLeaving } = options;
  const bodyMemory = createBodyMemoryLimit(MAXIMUM_BODY_BYTES);
  const openRequests = new Set<OpenRequest>();

  const recordUnanswered = (
    { attempt, arrivedAt, response }: OpenRequest,
    cause: UnansweredCause,
  ): void => {
    metrics.count('unanswered_requests', cause);
    logger.log('request-unanswered', {
      request: attempt,
      cause,
      begun: response.headersSent,
      waitingBytes: response.writableLength,
      milliseconds: Math.round(now() - arrivedAt),
    });
  };

  const serve = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    caller: RequestMetadata,
  ): Promise<void> => {
    const arrivedAt = now();
    const callerResponse = createCallerResponse(response);
    const isDisconnected = (): boolean => response.destroyed || incoming.socket.readableEnded;
    const refuse = (code: ResultCodeName, retryAfterSeconds?: number): void => {
      // On a kept connection the unread bytes of the body would be parsed as the next request.
      const closes = !incoming.complete;
      sendFailure(callerResponse, { code, retryAfterSeconds, closes });
      incoming.resume();
    };
    await relay.waitForStart(caller);
    if (isDisconnected()) return;
    const { url = '/', method = 'GET', rawHeaders } = incoming;
    const host = incoming.headers.host ?? '';
    const headerBytes = countHeaderBytes(incoming);
    const admission = relay.admit({ host, url, headerBytes, caller });
    if (admission.kind === 'refused') {
      refuse(admission.code, admission.retryAfterSeconds);
      return;
    }
    const { limits } = admission.compiled.configuration;
    const reservation = bodyMemory.createReservation();
    try {
      const outcome = await readBody(incoming, {
        maximumBytes: limits.bodyBytes,
        timeoutMilliseconds: limits.headerTimeoutMilliseconds,
        memory: reservation,
      });
      if (outcome.kind === 'disconnected' || isDisconnected()) return;
      if (outcome.kind !== 'complete') {
        const { code, retryAfterSeconds } = BODY_REFUSALS[outcome.kind];
        metrics.count('refusals', code);
        logger.log('request-refused', { request: caller.attempt, code });
        refuse(code, retryAfterSeconds);
        return;
      }
      // A busy node reads late; the end of a connection that its caller gave up is then read next.
      await waitForPendingReads();
      if (isDisconnected()) {
        metrics.count('abandoned_requests');
        return;
      }
      const forwarded = { method, url, rawHeaders, body: outcome.body };
      await relay.run({
        admitted: admission,
        caller,
        forwarded,
        arrivedAt,
        response: callerResponse,
      });
    } finally {
      reservation.release();
    }
  };

  return {
    handle: (incoming, response) => {
      const caller = headerTranslator.parseRequestHeaders(incoming.headers);
      const openRequest = { attempt: caller.attempt, arrivedAt: now(), response };
      openRequests.add(openRequest);
      const endRequest = (): void => {
        openRequests.delete(openRequest);
        incoming.socket.off('close', endRequest);
      };
      response.once('close', endRequest);
      // A pipelined response that never got the connection is not closed with it.
      incoming.socket.once('close', endRequest);
      if (isLeaving()) response.setHeader('Connection', 'close');
      serve(incoming, response, caller).catch((error: unknown) => {
        logger.log('request-crashed', { reason: describeError(error) });
        // A complete response that is still being sent reaches its caller.
        if (response.writableEnded) return;
        if (response.headersSent) {
          recordUnanswered(openRequest, 'crashed');
          createCallerResponse(response).abort();
          return;
        }
        // An endpoint may have executed the request, so that it must not be refused as not run.
        const closes = !incoming.complete;
        sendFailure(createCallerResponse(response), { code: 'endpointFailed', closes });
      });
    },
    countOpen: () => openRequests.size,
    recordUnanswered: () => {
      for (const openRequest of openRequests) recordUnanswered(openRequest, 'stopped');
    },
  };
}
