/**
 * HTTP listeners with limits on the size of headers and bodies and on the time to receive them.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import https from 'node:https';
import type { ConnectionLimits } from '../../../connection/deriveCallerLimits/index.js';
import { MAXIMUM_HEADER_BYTES } from '../../../constants/index.js';
import type { ListenerSettings, TlsSettings } from '../../settings/settingsSchema/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { createParserErrorResponder } from '../createParserErrorResponder/index.js';
import { createBodyBuffer, type BodyBufferRefusal } from '../createBodyBuffer/index.js';
import {
  guardConnections,
  type BodyReservation,
  type ConnectionGuard,
  type GuardEvent,
} from '../guardConnections/index.js';
import { refuseOverloaded } from '../refuseOverloaded/index.js';
import { watchFiles } from '../watchFiles/index.js';

/** Options of {@link listenHttp}. */
export interface ListenHttpOptions {
  readonly name: string;
  readonly listener: ListenerSettings;
  readonly lifeCycle: LifeCycle;
  /** Time for a request's headers and body to arrive, in milliseconds. */
  readonly requestTimeoutMilliseconds: number;
  readonly onRequest: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    guard: ConnectionGuard | undefined,
  ) => void;
  /** Limits of the connections; only the size and time of a request are limited without them. */
  readonly limits?: ConnectionLimits;
  /** Called when a connection is closed, or a request refused, because of {@link limits}. */
  readonly onLimit?: (event: GuardEvent) => void;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly request: http.IncomingMessage;
  readonly maximumBytes: number;
  /** Maximum number of pieces in which the body may arrive; not limited by default. */
  readonly maximumChunks?: number;
  /** Memory that the body is counted in, which is released when its text has been read. */
  readonly memory?: BodyReservation | undefined;
  readonly onBody: (body: string) => void;
  readonly onTooLarge: () => void;
  /** Called when there is no memory for the body. */
  readonly onNoMemory?: () => void;
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

function createServer(
  options: Pick<
    ListenHttpOptions,
    'name' | 'listener' | 'lifeCycle' | 'requestTimeoutMilliseconds'
  >,
  onRequest: http.RequestListener,
): http.Server {
  const { listener, requestTimeoutMilliseconds } = options;
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

function guardServer(
  server: http.Server,
  options: ListenHttpOptions & Required<Pick<ListenHttpOptions, 'limits'>>,
): ConnectionGuard {
  const { name, listener, limits, lifeCycle, onLimit = () => undefined } = options;
  const connectionEvent = listener.tls ? 'secureConnection' : 'connection';
  const now = (): number => performance.now();
  const guard = guardConnections(server, { limits, connectionEvent, now, onLimit });
  lifeCycle.own({ name: `${name}-guard`, close: guard.close });
  return guard;
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
  const { name, listener, lifeCycle, limits } = options;
  const parserErrors = createParserErrorResponder();
  const server = createServer(options, (request, response) => {
    if (!parserErrors.admit(request, response)) return;
    if (guard && !guard.admit(request, response)) refuseOverloaded(response);
    else options.onRequest(request, response, guard);
  });
  const guard = limits && guardServer(server, { ...options, limits });
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
  const { request, maximumBytes, maximumChunks = Infinity, memory } = options;
  const { onNoMemory = options.onTooLarge } = options;
  const reserve = (bytes: number): boolean => memory?.add(bytes) ?? true;
  const buffer = createBodyBuffer({ maximumBytes, maximumChunks, reserve });
  const onRefusal: Readonly<Record<BodyBufferRefusal, () => void>> = {
    tooLarge: options.onTooLarge,
    tooManyChunks: options.onTooLarge,
    noMemory: onNoMemory,
  };
  let isRefused = false;
  const release = (): void => {
    buffer.clear();
    memory?.release();
  };
  request.on('data', (chunk: Buffer) => {
    if (isRefused) return;
    memory?.recordProgress();
    const refusal = buffer.append(chunk);
    if (!refusal) return;
    isRefused = true;
    release();
    onRefusal[refusal]();
  });
  request.on('end', () => {
    if (isRefused) return;
    const body = buffer.join().toString('utf8');
    release();
    options.onBody(body);
  });
  request.on('close', release);
}
