/**
 * Responder of a listener: feeds requests to the node and writes responses and streams.
 */
import type http from 'node:http';
import csp, { type Channel } from 'js-csp';
import { formatError } from '../../../request/createErrorResponse/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';
import type { NodeEffect, NodeEvent } from '../../../types/node/index.js';
import type { ConnectionGuard } from '../guardConnections/index.js';
import { readBody } from '../listenHttp/index.js';
import { refuseOverloaded } from '../refuseOverloaded/index.js';

/** Effects that respond to a request. */
export type ResponseEffect = Extract<
  NodeEffect,
  { kind: 'answer' | 'streamStart' | 'streamData' | 'streamEnd' }
>;

/** Events caused by a caller or an operator. */
export type CallerEvent = Extract<
  NodeEvent,
  { kind: 'callerRequest' | 'callerGone' | 'operatorRequest' }
>;

/** Options of {@link createResponder}. */
export interface CreateResponderOptions {
  /** Feeds an event; returns false when the node cannot accept it now. */
  readonly feed: (event: CallerEvent) => boolean;
  readonly maximumBodyBytes: number;
  /** Maximum number of pieces in which a body may arrive; not limited by default. */
  readonly maximumBodyChunks?: number;
  /** Builds the event of a request whose body has been received. */
  readonly createEvent: (
    identifier: string,
    request: http.IncomingMessage,
    body: string,
  ) => CallerEvent;
  /** Makes the request's identifier unique in the node. */
  readonly identify?: (identifier: string) => string;
}

/** Forwards requests to the node and responses to callers. */
export interface Responder {
  readonly handleRequest: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    guard?: ConnectionGuard,
  ) => void;
  readonly handleEffect: (effect: ResponseEffect) => void;
  readonly count: () => number;
}

interface OpenRequest {
  readonly response: http.ServerResponse;
  stream: Channel<string> | undefined;
}

const STREAM_CHANNEL_CAPACITY = 512;

function writeError(response: http.ServerResponse, code: ResultCodeName): void {
  const { httpStatus } = RESULT_CODES[code];
  response.writeHead(httpStatus, { 'content-type': 'application/json', connection: 'close' });
  response.end(formatError(code));
}

/**
 * Writes the events of a stream to its caller until the stream is closed.
 *
 * The goroutine waits while the socket's buffer is full, so that the bounded channel fills up and a slow
 * caller is disconnected. Each queued event is a separate write.
 */
function writeStream(response: http.ServerResponse, stream: Channel<string>): void {
  csp.go(function* (): Generator<unknown, void, string | null> {
    const drainSignals = csp.chan<boolean>(csp.buffers.fixed(1));
    response.on('drain', () => csp.offer(drainSignals, true));
    response.on('close', () => {
      drainSignals.close();
    });
    for (;;) {
      const data = yield csp.take(stream);
      if (data === null) break;
      if (response.destroyed || response.write(data)) continue;
      yield csp.take(drainSignals);
    }
    response.end();
  });
}

/**
 * Creates the responder of one listener.
 *
 * @param options - receiver of events, maximum body size, and factory of events
 * @returns the responder
 * @example
 * createResponder({ feed, maximumBodyBytes, createEvent }).handleRequest(request, response);
 */
export function createResponder(options: CreateResponderOptions): Responder {
  const { identify = (identifier: string) => identifier } = options;
  const openRequests = new Map<string, OpenRequest>();
  let sequence = 0;

  const startRequest = (
    identifier: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): void => {
    openRequests.set(identifier, { response, stream: undefined });
    response.on('close', () => {
      const entry = openRequests.get(identifier);
      if (!entry) return;
      openRequests.delete(identifier);
      entry.stream?.close();
      options.feed({ kind: 'callerGone', request: identifier });
    });
    if (options.feed(options.createEvent(identifier, request, body))) return;
    openRequests.delete(identifier);
    writeError(response, 'overloaded');
  };
  const HANDLERS: {
    [Kind in ResponseEffect['kind']]: (
      entry: OpenRequest,
      effect: Extract<ResponseEffect, { kind: Kind }>,
    ) => void;
  } = {
    answer: ({ response }, { request, status, headers, body }) => {
      openRequests.delete(request);
      response.writeHead(status, {
        ...headers,
        'content-length': Buffer.byteLength(body).toString(),
      });
      response.end(body);
    },
    streamStart: (entry, { headers }) => {
      entry.response.writeHead(200, headers);
      entry.response.flushHeaders();
      entry.stream = csp.chan<string>(csp.buffers.fixed(STREAM_CHANNEL_CAPACITY));
      writeStream(entry.response, entry.stream);
    },
    streamData: (entry, { data }) => {
      if (!entry.stream) return;
      if (!csp.offer(entry.stream, data)) entry.response.destroy();
    },
    streamEnd: (entry, { request }) => {
      openRequests.delete(request);
      entry.stream?.close();
    },
  };

  return {
    handleRequest: (request, response, guard) => {
      sequence += 1;
      const identifier = identify(`request-${sequence.toString(36)}`);
      readBody({
        request,
        maximumBytes: options.maximumBodyBytes,
        maximumChunks: options.maximumBodyChunks ?? Infinity,
        memory: guard?.reserveBody(request.socket),
        onBody: (body) => {
          startRequest(identifier, request, response, body);
        },
        onTooLarge: () => {
          writeError(response, 'bodyTooLarge');
        },
        onNoMemory: () => {
          refuseOverloaded(response);
        },
      });
    },
    handleEffect: (effect) => {
      const entry = openRequests.get(effect.request);
      if (!entry) return;
      const handler = HANDLERS[effect.kind] as (found: OpenRequest, next: ResponseEffect) => void;
      handler(entry, effect);
    },
    count: () => openRequests.size,
  };
}

/**
 * Builds the event of a caller's request.
 *
 * @param identifier - identifier assigned to the request
 * @param request - the HTTP request
 * @param body - the body of the request
 * @returns the event
 * @example
 * createCallerEvent('request-1', request, body);
 */
export function createCallerEvent(
  identifier: string,
  request: http.IncomingMessage,
  body: string,
): CallerEvent {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (typeof value === 'string') headers[name] = value;
  }
  const { method = 'GET', url = '/' } = request;
  return { kind: 'callerRequest', request: identifier, method, path: url, headers, body };
}
