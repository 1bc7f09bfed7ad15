/**
 * HTTP listeners of a node.
 */
import { createServer, STATUS_CODES, type RequestListener, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { formatError } from '../../../request/createErrorResponse/index.js';
import type { CallerLimits } from '../../../types/site/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { parseJson } from '../../parseJson/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';

/** One listener. */
export interface SiteListener {
  readonly name: string;
  readonly address: string;
  readonly server: Server;
}

/**
 * Maximum size of the header block that a listener reads, in bytes; the configured limit is lower.
 */
const MAXIMUM_HEADER_BYTES = 32_768;
const MAXIMUM_PEER_REQUEST_BYTES = 16_384;
/** Maximum number of caller connections; each may need a second file descriptor for an endpoint. */
const MAXIMUM_CALLER_CONNECTIONS = 1_800;
/** How much longer than the configured idle time a connection is kept open, in milliseconds. */
const IDLE_SLACK_MILLISECONDS = 2_000;

/** Result codes of requests that cannot be parsed, by the error code of the runtime. */
const PARSE_ERROR_CODES: Readonly<Record<string, ResultCodeName>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'bodyTimeout',
};

/** Responds to bytes that are not a valid request, and closes the connection. */
function respondToMalformedRequest(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const name = PARSE_ERROR_CODES[error.code ?? ''] ?? 'malformedRequest';
  const { httpStatus } = RESULT_CODES[name];
  const body = formatError(name);
  const head = [
    `HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus] ?? ''}`,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/**
 * Creates the server that receives the requests of callers.
 *
 * @param handle - handles one request
 * @returns the server, which does not listen yet
 * @example
 * createCallerServer(callerHandler.handle);
 */
export function createCallerServer(handle: RequestListener): Server {
  const server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true }, handle);
  server.maxConnections = MAXIMUM_CALLER_CONNECTIONS;
  server.on('clientError', respondToMalformedRequest);
  return server;
}

/**
 * Applies the timeouts of a configuration to the callers' server.
 *
 * Connections stay open a little longer than callers may leave them idle, so that none is closed while
 * a request is in transit.
 *
 * @param server - the callers' server
 * @param limits - the configuration's limits
 * @returns nothing
 * @example
 * applyCallerLimits(server, configuration.limits);
 */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMilliseconds + IDLE_SLACK_MILLISECONDS;
  server.headersTimeout = limits.headerTimeoutMilliseconds + IDLE_SLACK_MILLISECONDS;
}

/**
 * Creates the server that receives requests of other nodes.
 *
 * @param handleRequest - returns the reply, or undefined when the request is invalid
 * @returns the server, which does not listen yet
 * @example
 * createPeerServer(exchange.handleRequest);
 */
export function createPeerServer(handleRequest: (value: unknown) => unknown): Server {
  return createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAXIMUM_PEER_REQUEST_BYTES) incoming.destroy();
      else chunks.push(chunk);
    });
    incoming.on('end', () => {
      const reply = handleRequest(parseJson(Buffer.concat(chunks).toString('utf8')));
      response.writeHead(reply === undefined ? 400 : 200, { 'Content-Type': 'application/json' });
      response.end(reply === undefined ? undefined : JSON.stringify(reply));
    });
  });
}

function listen({ server, address }: SiteListener): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/**
 * Starts listeners, one after the other.
 *
 * @param lifeCycle - life cycle that closes them
 * @param listeners - the listeners
 * @returns resolves when all listen; rejects when an address is in use
 * @example
 * await startListeners(lifeCycle, [{ name: 'callers', address: '127.0.0.1:80', server }]);
 */
export async function startListeners(
  lifeCycle: LifeCycle,
  listeners: readonly SiteListener[],
): Promise<void> {
  for (const listener of listeners) {
    await listen(listener);
    const { name, server } = listener;
    lifeCycle.own({
      name,
      close: () => {
        server.close();
        server.closeAllConnections();
      },
    });
  }
}
