/**
 * HTTP listeners with limits on the size of headers and bodies and on the time to receive them.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import https from 'node:https';
import { MAXIMUM_HEADER_BYTES } from '../../../constants/index.js';
import type { ListenerSettings, TlsSettings } from '../../settings/settingsSchema/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { createParserErrorResponder } from '../createParserErrorResponder/index.js';
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

const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 500;

function readTls(tls: TlsSettings): https.ServerOptions {
  return {
    cert: readFileSync(tls.certificateFile),
    key: readFileSync(tls.keyFile),
    ...(tls.authorityFile !== undefined && { ca: readFileSync(tls.authorityFile) }),
  };
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
  const parserErrors = createParserErrorResponder();
  const server = createServer({
    ...options,
    onRequest: (request, response) => {
      if (parserErrors.admit(request, response)) options.onRequest(request, response);
    },
  });
  server.on('clientError', parserErrors.respond);
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
