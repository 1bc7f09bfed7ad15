/**
 * HTTP listeners with bounds on headers, bodies and time.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import https from 'node:https';
import type { Duplex } from 'node:stream';
import { MAXIMUM_HEADER_BYTES } from '../../../constants/index.js';
import { formatError } from '../../../request/answerError/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';
import type { ListenerSettings, TlsSettings } from '../../settings/settingsSchema/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { watchFiles } from '../watchFiles/index.js';

/** Options of {@link listenHttp}. */
export interface ListenHttpOptions {
  readonly name: string;
  readonly listener: ListenerSettings;
  readonly lifeCycle: LifeCycle;
  /** Time for a request's headers and body to arrive, in milliseconds. */
  readonly requestTimeoutMilliseconds: number;
  readonly onRequest: (request: http.IncomingMessage, response: http.ServerResponse) => void;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly request: http.IncomingMessage;
  readonly maximumBytes: number;
  readonly onBody: (body: string) => void;
  readonly onTooLarge: () => void;
}

/** An address could not be listened on. */
export class ListenError extends Error {
  public constructor(
    public readonly listener: string,
    public readonly address: string,
    cause: unknown,
  ) {
    super(`${listener} cannot listen on ${address}`, { cause });
  }
}

const PARSER_CODES: Record<string, ResultCodeName> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'bodyTimeout',
};
const TIMEOUT_CHECK_MILLISECONDS = 500;

function readTls(tls: TlsSettings): https.ServerOptions {
  return {
    cert: readFileSync(tls.certificateFile),
    key: readFileSync(tls.keyFile),
    ...(tls.authorityFile !== undefined && { ca: readFileSync(tls.authorityFile) }),
  };
}

/** Requests of each connection that have not been answered yet. */
type OpenRequests = WeakMap<Duplex, Set<http.IncomingMessage>>;

/** Counts a request as open until its response has ended. */
function trackRequest(
  open: OpenRequests,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const requests = open.get(request.socket) ?? new Set();
  open.set(request.socket, requests);
  requests.add(request);
  response.once('close', () => {
    requests.delete(request);
  });
}

/** Tells whether a request of the connection has arrived whole, so that it may have been run. */
function hasWholeRequest(open: OpenRequests, socket: Duplex): boolean {
  return [...(open.get(socket) ?? [])].some(({ complete }) => complete);
}

/**
 * Answers bytes that are not a request, or a request that does not arrive. While a request of the
 * connection that has arrived whole is open, an answer here would be taken for its answer, so that
 * the connection is cut instead.
 */
function answerParserError(open: OpenRequests, error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || hasWholeRequest(open, socket)) {
    socket.destroy();
    return;
  }
  const code = PARSER_CODES[error.code ?? ''] ?? 'malformedRequest';
  const body = formatError(code);
  const { httpStatus } = RESULT_CODES[code];
  socket.end(
    `HTTP/1.1 ${httpStatus.toString()} ${http.STATUS_CODES[httpStatus] ?? ''}\r\n` +
      `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body).toString()}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}

function createServer(options: ListenHttpOptions): http.Server {
  const { listener, requestTimeoutMilliseconds, onRequest } = options;
  const bounds = {
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    requestTimeout: requestTimeoutMilliseconds,
    headersTimeout: requestTimeoutMilliseconds,
    connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
    noDelay: true,
  };
  if (!listener.tls) return http.createServer(bounds, onRequest);
  const { tls } = listener;
  const server = https.createServer({ ...bounds, ...readTls(tls) }, onRequest);
  const unwatch = watchFiles([tls.certificateFile, tls.keyFile], () => {
    server.setSecureContext(readTls(tls));
  });
  options.lifeCycle.own({ name: `${options.name}-certificate`, close: unwatch });
  return server;
}

/**
 * Listens for HTTP requests.
 *
 * @param options - name, address, bounds and handler of the listener
 * @returns the port listened on; rejects with {@link ListenError}
 * @example
 * await listenHttp({ name: 'callers', listener, lifeCycle, requestTimeoutMilliseconds, onRequest });
 */
export async function listenHttp(options: ListenHttpOptions): Promise<number> {
  const { name, listener, lifeCycle } = options;
  const open: OpenRequests = new WeakMap();
  const server = createServer({
    ...options,
    onRequest: (request, response) => {
      trackRequest(open, request, response);
      options.onRequest(request, response);
    },
  });
  server.on('clientError', (error, socket) => {
    answerParserError(open, error, socket);
  });
  await new Promise<void>((done, failed) => {
    server.once('error', (error) => {
      failed(new ListenError(name, `${listener.host}:${listener.port.toString()}`, error));
    });
    server.listen(listener.port, listener.host, done);
  });
  lifeCycle.own({
    name: `${name}-listener`,
    close: () =>
      new Promise<void>((done) => {
        server.close(() => {
          done();
        });
        server.closeAllConnections();
      }),
  });
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : listener.port;
}

/**
 * Reads the body of a request.
 *
 * @param options - the request, the bound in bytes, and what to call
 * @returns nothing; one of the callbacks is called unless the request is aborted
 * @example
 * readBody({ request, maximumBytes: 1_048_576, onBody, onTooLarge });
 */
export function readBody(options: ReadBodyOptions): void {
  const { request, maximumBytes } = options;
  const chunks: Buffer[] = [];
  let size = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= maximumBytes) chunks.push(chunk);
    else if (size - chunk.length <= maximumBytes) options.onTooLarge();
  });
  request.on('end', () => {
    if (size <= maximumBytes) options.onBody(Buffer.concat(chunks).toString('utf8'));
  });
}
