/**
 * HTTP handler that reads callers' requests and passes them to the relay.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { AbortCause, HeaderTranslator, RequestMetadata } from '../../../types/relay/index.js';
import { describeError } from '../../describeError/index.js';
import { waitForPendingReads } from '../../runtime/waitForPendingReads/index.js';
import type { ConnectionGuard } from '../../runtime/guardConnections/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { AdmissionRefusal } from '../admitRequest/index.js';
import { sendFailure } from '../sendFailure/index.js';
import { isWellFormedRequest } from '../isWellFormedRequest/index.js';
import { createBodyMemoryLimit } from '../createBodyMemoryLimit/index.js';
import { createCallerResponse } from '../createCallerResponse/index.js';
import type { HandedOverRequest } from '../createNeighbourPort/index.js';
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
  /** Guard of the callers' connections; without it, only the bodies of all requests together are limited. */
  readonly guard?: Pick<ConnectionGuard, 'reserveBody' | 'assignAccount'> | undefined;
  /** Maximum number of pieces in which a body may arrive; not limited by default. */
  readonly maximumBodyChunks?: number;
}

/** HTTP handler of callers' requests. */
export interface CallerHandler {
  readonly handle: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Handles a request that another node handed over. */
  readonly handleHandedOver: (
    incoming: IncomingMessage,
    response: ServerResponse,
    handOver: HandedOverRequest,
  ) => void;
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
  /** How another node handed the request over; undefined for a request of a caller. */
  readonly handOver: HandedOverRequest | undefined;
  /** Whether the connection had an earlier request. */
  readonly isKept: boolean;
  /** Whether the request was read completely and passed to the relay. */
  isPassedOn: boolean;
  /** Whether its end without a complete response has been recorded. */
  isRecorded: boolean;
  /** Why the node closes the connection. */
  cause: UnansweredCause;
}

/** Why the connection of a request ends without a complete response. */
type UnansweredCause = AbortCause | 'stopped' | 'closed';

/** Maximum memory of all request bodies together. */
const MAXIMUM_BODY_BYTES = 67_108_864;
/** `Retry-After` when there is no memory for the body, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 0.5;

const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyOutcome['kind'], 'complete' | 'disconnected'>, Omit<AdmissionRefusal, 'kind'>>
> = {
  tooLarge: { code: 'bodyTooLarge' },
  tooManyChunks: { code: 'bodyTooLarge' },
  timeout: { code: 'bodyTimeout' },
  noMemory: { code: 'overloaded', retryAfterSeconds: NO_MEMORY_RETRY_SECONDS },
};

/** Bytes of one header line in addition to its name and value: colon, space, CR and LF. */
const HEADER_SEPARATOR_BYTES = 4;

function countHeaderBytes({ rawHeaders, method = '', url = '' }: IncomingMessage): number {
  const text = rawHeaders.reduce((sum, { length }) => sum + length, method.length + url.length);
  return text + (rawHeaders.length / 2) * HEADER_SEPARATOR_BYTES;
}

/** Resolves when a response has been sent or its connection has ended. */
async function waitForEnd(response: ServerResponse, connection: Socket): Promise<void> {
  if (response.closed || connection.destroyed) return;
  await new Promise<void>((resolve) => {
    const end = (): void => {
      response.off('close', end);
      connection.off('close', end);
      resolve();
    };
    response.on('close', end);
    connection.on('close', end);
  });
}

/** Returns whether the other side closed or reset a connection. */
function wasClosedByCaller({ readableEnded, errored }: Socket): boolean {
  return readableEnded || errored !== null;
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
  const { relay, headerTranslator, logger, metrics, now, isLeaving, guard } = options;
  const { maximumBodyChunks = Infinity } = options;
  const bodyMemory = createBodyMemoryLimit(MAXIMUM_BODY_BYTES);
  const openRequests = new Set<OpenRequest>();

  /** Connections that had a request. */
  const usedConnections = new WeakSet<Socket>();
  /** The last open response of each connection. */
  const openResponses = new WeakMap<Socket, ServerResponse>();

  const recordUnanswered = (openRequest: OpenRequest): void => {
    if (openRequest.isRecorded) return;
    openRequest.isRecorded = true;
    const { attempt, arrivedAt, response, isKept, isPassedOn, cause } = openRequest;
    const begun = response.headersSent;
    metrics.count('unanswered_requests', cause);
    if (isKept && isPassedOn && !begun) metrics.count('unanswered_on_kept_connections', cause);
    logger.log('request-unanswered', {
      request: attempt,
      cause,
      kept: isKept,
      passedOn: isPassedOn,
      begun,
      waitingBytes: response.writableLength,
      milliseconds: Math.round(now() - arrivedAt),
    });
  };
  const recordEnd = (openRequest: OpenRequest, connection: Socket): void => {
    if (openRequest.response.writableFinished) metrics.count('answered_requests');
    else if (wasClosedByCaller(connection)) metrics.count('left_requests');
    else recordUnanswered(openRequest);
  };

  const serve = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    caller: RequestMetadata,
    openRequest: OpenRequest,
    earlier: ServerResponse | undefined,
  ): Promise<void> => {
    const { arrivedAt } = openRequest;
    const callerResponse = createCallerResponse(response, (cause) => {
      openRequest.cause = cause;
    });
    const isDisconnected = (): boolean =>
      response.destroyed || incoming.socket.destroyed || incoming.socket.readableEnded;
    const refuse = (code: ResultCodeName, retryAfterSeconds?: number): void => {
      // On a kept connection the unread bytes of the body would be parsed as the next request.
      const closes = !incoming.complete;
      sendFailure(callerResponse, { code, retryAfterSeconds, closes });
      incoming.resume();
    };
    // The connection may end with the response to an earlier request.
    if (earlier) await waitForEnd(earlier, incoming.socket);
    if (isDisconnected()) return;
    if (!isWellFormedRequest(incoming)) {
      metrics.count('refusals', 'malformedRequest');
      logger.log('request-refused', { request: caller.attempt, code: 'malformedRequest' });
      refuse('malformedRequest');
      return;
    }
    await relay.waitForStart(caller);
    if (isDisconnected()) return;
    const { url = '/', method = 'GET' } = incoming;
    const { handOver } = openRequest;
    const { rawHeaders } = handOver ?? incoming;
    const host = incoming.headers.host ?? '';
    const headerBytes = countHeaderBytes(incoming);
    const admission = relay.admit({ host, url, headerBytes, caller });
    if (admission.kind === 'refused') {
      refuse(admission.code, admission.retryAfterSeconds);
      return;
    }
    const { limits } = admission.compiled.configuration;
    const { account } = admission;
    if (account && guard && !guard.assignAccount(incoming.socket, account.name)) {
      metrics.count('refusals', 'overloaded');
      logger.log('request-refused', { request: caller.attempt, code: 'overloaded' });
      refuse('overloaded', NO_MEMORY_RETRY_SECONDS);
      return;
    }
    const reservation = bodyMemory.createReservation();
    const held = guard?.reserveBody(incoming.socket);
    try {
      const outcome = await readBody(incoming, {
        maximumBytes: limits.bodyBytes,
        maximumChunks: maximumBodyChunks,
        timeoutMilliseconds: limits.headerTimeoutMilliseconds,
        memory: {
          add: (bytes) => (held?.add(bytes) ?? true) && reservation.add(bytes),
        },
        ...(held && { onProgress: held.recordProgress }),
      });
      if (outcome.kind === 'disconnected' || isDisconnected()) return;
      if (outcome.kind !== 'complete') {
        const { code, retryAfterSeconds } = BODY_REFUSALS[outcome.kind];
        metrics.count('refusals', code);
        logger.log('request-refused', { request: caller.attempt, code });
        refuse(code, retryAfterSeconds);
        return;
      }
      metrics.count('read_requests');
      // A busy node reads late; the end of a connection that its caller gave up is then read next.
      await waitForPendingReads();
      if (isDisconnected()) {
        metrics.count('abandoned_requests');
        return;
      }
      openRequest.isPassedOn = true;
      const forwarded = { method, url, rawHeaders, body: outcome.body };
      await relay.run({
        admitted: admission,
        caller,
        forwarded,
        arrivedAt,
        response: callerResponse,
        handOver,
      });
    } finally {
      reservation.release();
      held?.release();
    }
  };

  const handle = (
    incoming: IncomingMessage,
    response: ServerResponse,
    handOver?: HandedOverRequest,
  ): void => {
    const caller = headerTranslator.parseRequestHeaders(incoming.headers);
    const { socket } = incoming;
    const earlier = openResponses.get(socket);
    openResponses.set(socket, response);
    const openRequest: OpenRequest = {
      attempt: caller.attempt,
      arrivedAt: now(),
      response,
      handOver,
      isKept: usedConnections.has(socket),
      isPassedOn: false,
      isRecorded: false,
      cause: 'closed',
    };
    usedConnections.add(socket);
    openRequests.add(openRequest);
    const endRequest = (): void => {
      socket.off('close', endRequest);
      if (openResponses.get(socket) === response) openResponses.delete(socket);
      if (openRequests.delete(openRequest)) recordEnd(openRequest, socket);
    };
    response.once('close', endRequest);
    // A pipelined response that never got the connection is not closed with it.
    socket.once('close', endRequest);
    if (isLeaving()) response.setHeader('Connection', 'close');
    serve(incoming, response, caller, openRequest, earlier).catch((error: unknown) => {
      logger.log('request-crashed', { reason: describeError(error) });
      // A complete response that is still being sent reaches its caller.
      if (response.writableEnded) return;
      const callerResponse = createCallerResponse(response, (cause) => {
        openRequest.cause = cause;
      });
      if (response.headersSent) {
        callerResponse.abort('crashed');
        return;
      }
      // An endpoint may have executed the request, so that it must not be refused as not run.
      const closes = !incoming.complete;
      sendFailure(callerResponse, { code: 'endpointFailed', closes });
    });
  };

  return {
    handle: (incoming, response) => {
      handle(incoming, response);
    },
    handleHandedOver: handle,
    countOpen: () => openRequests.size,
    recordUnanswered: () => {
      for (const openRequest of openRequests) {
        openRequest.cause = 'stopped';
        recordUnanswered(openRequest);
      }
    },
  };
}
