/**
 * HTTP listeners with limits on the size of headers and bodies and on the time to receive them.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import https from 'node:https';
import type { Duplex } from 'node:stream';
import { MAXIMUM_HEADER_BYTES } from '../../../constants/index.js';
import { formatError } from '../../../request/createErrorResponse/index.js';
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

/** Error of a listener that cannot bind its address. */
export class ListenError extends Error {
  public constructor(
    public readonly listener: string,
    public readonly address: string,
    cause: unknown,
  ) {
    super(`${listener} cannot listen on ${address}`, { cause });
  }
}

const PARSER_ERROR_CODES: Record<string, ResultCodeName> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'bodyTimeout',
};
const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 500;

function readTls(tls: TlsSettings): https.ServerOptions {
  return {
    cert: readFileSync(tls.certificateFile),
    key: readFileSync(tls.keyFile),
    ...(tls.authorityFile !== undefined && { ca: readFileSync(tls.authorityFile) }),
  };
}

/** Requests of each connection whose response has not ended. */
type OpenRequests = WeakMap<Duplex, Set<http.IncomingMessage>>;

/** Tracks a request as open until its response has ended. */
function trackRequest(
  openRequests: OpenRequests,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const requests = openRequests.get(request.socket) ?? new Set();
  openRequests.set(request.socket, requests);
  requests.add(request);
  response.once('close', () => {
    requests.delete(request);
  });
}

/** Returns whether an open request of the connection is complete, so that it may have been executed. */
function hasCompleteRequest(openRequests: OpenRequests, socket: Duplex): boolean {
  return [...(openRequests.get(socket) ?? [])].some(({ complete }) => complete);
}

/**
 * Responds to bytes that are not a request, or to a request that does not arrive in time. While a
 * completely received request of the connection is open, the caller would take this response for that
 * of the open request, so the connection is closed instead.
 */
function respondToParserError(
  openRequests: OpenRequests,
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable || hasCompleteRequest(openRequests, socket)) {
    socket.destroy();
    return;
  }
  const code = PARSER_ERROR_CODES[error.code ?? ''] ?? 'malformedRequest';
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
  const limits = {
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    requestTimeout: requestTimeoutMilliseconds,
    headersTimeout: requestTimeoutMilliseconds,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
    noDelay: true,
  };
  if (!listener.tls) return http.createServer(limits, onRequest);
  const { tls } = listener;
  const server = https.createServer({ ...limits, ...readTls(tls) }, onRequest);
  const unwatch = watchFiles([tls.certificateFile, tls.keyFile], () => {
    server.setSecureContext(readTls(tls));
  });
  options.lifeCycle.own({ name: `${options.name}-certificate`, close: unwatch });
  return server;
}

/**
 * Listens for HTTP requests.
 *
 * @param options - name, address, limits and handler of the listener
 * @returns the bound port; rejects with {@link ListenError}
 * @example
 * await listenHttp({ name: 'callers', listener, lifeCycle, requestTimeoutMilliseconds, onRequest });
 */
export async function listenHttp(options: ListenHttpOptions): Promise<number> {
  const { name, listener, lifeCycle } = options;
  const openRequests: OpenRequests = new WeakMap();
  const server = createServer({
    ...options,
    onRequest: (request, response) => {
      trackRequest(openRequests, request, response);
      options.onRequest(request, response);
    },
  });
  server.on('clientError', (error, socket) => {
    respondToParserError(openRequests, error, socket);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      reject(new ListenError(name, `${listener.host}:${listener.port.toString()}`, error));
    });
    server.listen(listener.port, listener.host, resolve);
  });
  lifeCycle.own({
    name: `${name}-listener`,
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
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
 * @param options - the request, the maximum size in bytes, and the callbacks
 * @returns nothing; calls one of the callbacks unless the request is aborted
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
