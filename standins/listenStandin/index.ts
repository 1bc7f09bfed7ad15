/**
 * HTTP server of a stand-in, with fault injection.
 */
import http from 'node:http';
import { createFaults, faultSchema, type Faults } from '../createFaults/index.js';
import { listenOnLoopback } from '../listenOnLoopback/index.js';

/** Running stand-in. */
export interface Standin {
  readonly address: string;
  readonly faults: Faults;
  /** Closes every connection, as the end of the process does. */
  readonly dropConnections: () => void;
  readonly close: () => Promise<void>;
}

/** Options of {@link listenStandin}. */
export interface ListenStandinOptions {
  readonly port: number;
  readonly seed: number;
  /** Handles a request that no fault has handled; {@link replyJson} applies `dropReply`. */
  readonly handle: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    faults: Faults,
  ) => void;
  /** Sets headers that all responses carry, those of faults too. */
  readonly setHeaders?: (response: http.ServerResponse) => void;
  /** Response to a request that a `refuse` fault applies to. */
  readonly refusal?: { readonly status: number; readonly body: string };
}

/**
 * Reads the complete body of a request.
 *
 * @param request - the request
 * @param done - called with the body as text
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
 * Responds with JSON, unless a `dropReply` fault closes the connection instead.
 *
 * @param response - the response
 * @param faults - faults of the stand-in
 * @param target - target that faults are matched against
 * @param value - body of the response, before serialization
 * @param status - status code
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
  if (faults.consume('dropReply', target)) {
    response.destroy();
    return;
  }
  const body = JSON.stringify(value);
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(body);
}

function replaceFaults(
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
 * Starts the HTTP server of a stand-in on the loopback interface.
 *
 * `POST /faults` replaces the active faults with a JSON list of faults.
 *
 * @param options - port (0 for any free one), seed and handler
 * @returns the stand-in
 * @example
 * const standin = await listenStandin({ port: 0, seed: 1, handle });
 */
export async function listenStandin(options: ListenStandinOptions): Promise<Standin> {
  const faults = createFaults(options.seed);
  const { refusal = { status: 503, body: '{"refused":"overload"}' } } = options;
  const server = http.createServer({ noDelay: true }, (request, response) => {
    const target = request.url ?? '';
    options.setHeaders?.(response);
    if (target === '/faults') {
      replaceFaults(request, response, faults);
      return;
    }
    if (faults.consume('down', target)) {
      request.socket.destroy();
      return;
    }
    if (faults.consume('stall', target)) return;
    if (faults.consume('refuse', target)) {
      request.resume();
      response.writeHead(refusal.status, { 'content-type': 'application/json' });
      response.end(refusal.body);
      return;
    }
    const delay = faults.consume('delay', target);
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
