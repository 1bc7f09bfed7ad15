/**
 * HTTP listener of a stand-in, with its faults.
 */
import http from 'node:http';
import { createFaults, faultSchema, type Faults } from '../createFaults/index.js';
import { listenOnLoopback } from '../listenOnLoopback/index.js';

/** A stand-in that listens. */
export interface Standin {
  readonly address: string;
  readonly faults: Faults;
  /** Cuts every connection, as the death of the process would. */
  readonly dropConnections: () => void;
  readonly close: () => Promise<void>;
}

/** Options of {@link listenStandin}. */
export interface ListenStandinOptions {
  readonly port: number;
  readonly seed: number;
  /** Handles a request that no fault has taken; `reply` applies `dropReply`. */
  readonly handle: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    faults: Faults,
  ) => void;
  readonly refusal?: { readonly status: number; readonly body: string };
}

/**
 * Reads a whole body.
 *
 * @param request - the request
 * @param done - called with the text
 * @returns nothing
 * @example
 * readText(request, (text) => handle(text));
 */
export function readText(request: http.IncomingMessage, done: (text: string) => void): void {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    done(Buffer.concat(chunks).toString('utf8'));
  });
}

/**
 * Answers with JSON, unless a fault drops the reply after the effect.
 *
 * @param response - the response
 * @param faults - faults of the stand-in
 * @param target - name that faults match
 * @param value - what to answer
 * @returns nothing
 * @example
 * replyJson(response, faults, 'get', { kind: 'entry', entry: null });
 */
export function replyJson(
  response: http.ServerResponse,
  faults: Faults,
  target: string,
  value: unknown,
  status = 200,
): void {
  if (faults.hit('dropReply', target)) {
    response.destroy();
    return;
  }
  const body = JSON.stringify(value);
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(body);
}

function takeFaults(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  faults: Faults,
): void {
  readText(request, (text) => {
    const fault = faultSchema.array().safeParse(JSON.parse(text || '[]'));
    faults.clear();
    for (const entry of fault.data ?? []) faults.add(entry);
    response.end('{}');
  });
}

/**
 * Listens as a stand-in on loopback.
 *
 * `POST /faults` replaces the faults by a JSON list.
 *
 * @param options - port (0 for any), seed and handler
 * @returns the stand-in
 * @example
 * const standin = await listenStandin({ port: 0, seed: 1, handle });
 */
export async function listenStandin(options: ListenStandinOptions): Promise<Standin> {
  const faults = createFaults(options.seed);
  const { refusal = { status: 503, body: '{"refused":"overload"}' } } = options;
  const server = http.createServer({ noDelay: true }, (request, response) => {
    const target = request.url ?? '';
    if (target === '/faults') {
      takeFaults(request, response, faults);
      return;
    }
    if (faults.hit('down', target)) {
      request.socket.destroy();
      return;
    }
    if (faults.hit('stall', target)) return;
    if (faults.hit('refuse', target)) {
      request.resume();
      response.writeHead(refusal.status, { 'content-type': 'application/json' });
      response.end(refusal.body);
      return;
    }
    const delay = faults.hit('delay', target);
    if (delay)
      setTimeout(() => {
        options.handle(request, response, faults);
      }, delay.milliseconds);
    else options.handle(request, response, faults);
  });
  server.keepAliveTimeout = 60_000;
  const address = await listenOnLoopback(server, { port: options.port });
  return {
    address,
    faults,
    dropConnections: () => {
      server.closeAllConnections();
    },
    close: () =>
      new Promise((done) => {
        server.close(() => {
          done();
        });
        server.closeAllConnections();
      }),
  };
}
