/**
 * The callers' listener: requests in, answers and streams out.
 */
import type http from 'node:http';
import csp, { type Channel } from 'js-csp';
import { formatError } from '../../../request/answerError/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';
import type { NodeEffect, NodeEvent } from '../../../types/node/index.js';
import { readBody } from '../listenHttp/index.js';

/** Effects that answer a request. */
export type AnswerEffect = Extract<
  NodeEffect,
  { kind: 'answer' | 'streamStart' | 'streamData' | 'streamEnd' }
>;

/** Events that a caller gives rise to. */
export type CallerEvent = Extract<
  NodeEvent,
  { kind: 'callerRequest' | 'callerGone' | 'operatorRequest' }
>;

/** Options of {@link createResponder}. */
export interface CreateResponderOptions {
  /** Feeds an event; returns false when the node cannot take it now. */
  readonly feed: (event: CallerEvent) => boolean;
  readonly maximumBodyBytes: number;
  /** Builds the event of a request whose body has arrived. */
  readonly createEvent: (
    identifier: string,
    request: http.IncomingMessage,
    body: string,
  ) => CallerEvent;
  /** Makes the request's identifier unique in the node. */
  readonly identify?: (identifier: string) => string;
}

/** Carries requests to the node and answers back. */
export interface Responder {
  readonly take: (request: http.IncomingMessage, response: http.ServerResponse) => void;
  readonly perform: (effect: AnswerEffect) => void;
  readonly count: () => number;
}

interface OpenRequest {
  readonly response: http.ServerResponse;
  stream: Channel<string> | undefined;
}

const EVENTS_PER_STREAM = 512;

function writeError(response: http.ServerResponse, code: ResultCodeName): void {
  const { httpStatus } = RESULT_CODES[code];
  response.writeHead(httpStatus, { 'content-type': 'application/json', connection: 'close' });
  response.end(formatError(code));
}

/**
 * Writes a stream's events to its caller until the stream is closed.
 *
 * Events that wait are written together. The goroutine waits while the socket is full, so that the
 * bounded channel fills and the slow caller is cut off.
 */
function writeStream(response: http.ServerResponse, stream: Channel<string>): void {
  csp.go(function* (): Generator<unknown, void, string | null> {
    const drained = csp.chan<boolean>(csp.buffers.fixed(1));
    response.on('drain', () => csp.offer(drained, true));
    response.on('close', () => {
      drained.close();
    });
    for (;;) {
      const data = yield csp.take(stream);
      if (data === null) break;
      if (response.destroyed || response.write(data)) continue;
      yield csp.take(drained);
    }
    response.end();
  });
}

/**
 * Creates the responder of one listener.
 *
 * @param options - where events go, the bound of bodies, and how events are built
 * @returns the responder
 * @example
 * createResponder({ feed, maximumBodyBytes, createEvent }).take(request, response);
 */
export function createResponder(options: CreateResponderOptions): Responder {
  const { identify = (identifier: string) => identifier } = options;
  const open = new Map<string, OpenRequest>();
  let sequence = 0;

  const start = (
    identifier: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): void => {
    open.set(identifier, { response, stream: undefined });
    response.on('close', () => {
      const entry = open.get(identifier);
      if (!entry) return;
      open.delete(identifier);
      entry.stream?.close();
      options.feed({ kind: 'callerGone', request: identifier });
    });
    if (options.feed(options.createEvent(identifier, request, body))) return;
    open.delete(identifier);
    writeError(response, 'overloaded');
  };
  const HANDLERS: {
    [Kind in AnswerEffect['kind']]: (
      entry: OpenRequest,
      effect: Extract<AnswerEffect, { kind: Kind }>,
    ) => void;
  } = {
    answer: ({ response }, { request, status, headers, body }) => {
      open.delete(request);
      response.writeHead(status, {
        ...headers,
        'content-length': Buffer.byteLength(body).toString(),
      });
      response.end(body);
    },
    streamStart: (entry, { headers }) => {
      entry.response.writeHead(200, headers);
      entry.response.flushHeaders();
      entry.stream = csp.chan<string>(csp.buffers.fixed(EVENTS_PER_STREAM));
      writeStream(entry.response, entry.stream);
    },
    streamData: (entry, { data }) => {
      if (!entry.stream) return;
      if (!csp.offer(entry.stream, data)) entry.response.destroy();
    },
    streamEnd: (entry, { request }) => {
      open.delete(request);
      entry.stream?.close();
    },
  };

  return {
    take: (request, response) => {
      sequence += 1;
      const identifier = identify(`request-${sequence.toString(36)}`);
      readBody({
        request,
        maximumBytes: options.maximumBodyBytes,
        onBody: (body) => {
          start(identifier, request, response, body);
        },
        onTooLarge: () => {
          writeError(response, 'bodyTooLarge');
        },
      });
    },
    perform: (effect) => {
      const entry = open.get(effect.request);
      if (!entry) return;
      const handler = HANDLERS[effect.kind] as (found: OpenRequest, next: AnswerEffect) => void;
      handler(entry, effect);
    },
    count: () => open.size,
  };
}

/**
 * Builds the event of a caller's request.
 *
 * @param identifier - identifier given to the request
 * @param request - the HTTP request
 * @param body - its body
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
