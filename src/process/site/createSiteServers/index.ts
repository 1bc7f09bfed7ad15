/**
 * HTTP listeners of a node.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '../../../types/site/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import type { CallerHandler } from '../../relay/createCallerHandler/index.js';
import { readHandedOver } from '../../relay/createNeighbourPort/index.js';
import { parseJson } from '../../parseJson/index.js';
import {
  createParserErrorResponder,
  type ParserErrorCause,
} from '../../runtime/createParserErrorResponder/index.js';

/**
 * Why the node closes a connection of a caller: `idle`, `limit` when it has too many connections, or bytes
 * that are not a valid request.
 */
export type ConnectionCloseCause = 'idle' | 'limit' | ParserErrorCause;

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

/**
 * Creates the server that receives the requests of callers.
 *
 * @param handle - handles one request
 * @param onClose - called with the cause when the node closes a connection without having a request to answer
 * @returns the server, which does not listen yet
 * @example
 * createCallerServer(callerHandler.handle);
 */
export function createCallerServer(
  handle: RequestListener,
  onClose: (cause: ConnectionCloseCause) => void = () => undefined,
): Server {
  const parserErrors = createParserErrorResponder(onClose);
  const limits = { maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true };
  const server = createServer(limits, (incoming, response) => {
    if (parserErrors.admit(incoming, response)) handle(incoming, response);
  });
  server.maxConnections = MAXIMUM_CALLER_CONNECTIONS;
  server.on('clientError', parserErrors.respond);
  server.on('drop', () => {
    onClose('limit');
  });
  server.on('timeout', (socket: Socket) => {
    onClose('idle');
    socket.destroy();
  });
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
 * @param handleHandedOver - handles a request of a caller that another node handed over
 * @returns the server, which does not listen yet
 * @example
 * createPeerServer(exchange.handleRequest, callerHandler.handleHandedOver);
 */
export function createPeerServer(
  handleRequest: (value: unknown) => unknown,
  handleHandedOver: CallerHandler['handleHandedOver'],
): Server {
  const limits = { maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true };
  return createServer(limits, (incoming, response) => {
    const handedOver = readHandedOver(incoming);
    if (handedOver) {
      handleHandedOver(incoming, response, handedOver);
      return;
    }
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
 * @param onFailure - called with the name of a listener that cannot accept a connection; it goes on
 * @returns resolves when all listen; rejects when an address is in use
 * @example
 * await startListeners(lifeCycle, [{ name: 'callers', address: '127.0.0.1:80', server }], console.error);
 */
export async function startListeners(
  lifeCycle: LifeCycle,
  listeners: readonly SiteListener[],
  onFailure: (name: string, error: Error) => void,
): Promise<void> {
  for (const listener of listeners) {
    await listen(listener);
    const { name, server } = listener;
    server.on('error', (error) => {
      onFailure(name, error);
    });
    lifeCycle.own({
      name,
      close: () => {
        server.close();
        server.closeAllConnections();
      },
    });
  }
}
