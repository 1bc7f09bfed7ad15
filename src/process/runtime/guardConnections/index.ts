/**
 * Limits on the caller connections of an HTTP server: their number, pipelined requests, memory and unread responses.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  createConnectionLimit,
  type ExceededConnectionLimit,
} from '../../../connection/createConnectionLimit/index.js';
import {
  createMemoryAccount,
  type MemoryAccount,
  type MemoryHolder,
} from '../../../connection/createMemoryAccount/index.js';
import type { ConnectionLimits } from '../../../connection/deriveCallerLimits/index.js';
import { limitPipelining, type RequestGate } from '../limitPipelining/index.js';

/**
 * Why a connection is closed or a request refused: too many connections, in total or from the address; responses
 * that nobody reads; to make room for others, an unfinished body or unread responses; or no memory.
 */
export type GuardCause =
  ExceededConnectionLimit | 'unread' | 'evictedBody' | 'evictedResponse' | 'noMemory';

/** Limited connection or request, for logs and counters. */
export interface GuardEvent {
  readonly cause: GuardCause;
  readonly address: string;
  /** Bytes that the connection held. */
  readonly heldBytes: number;
  /** Requests of the connection without a complete response. */
  readonly openRequests: number;
}

const GUARD_CAUSE_TEXTS: Readonly<Record<GuardCause, string>> = {
  total: 'too many connections',
  address: 'too many connections from its address',
  unread: 'response not read in time',
  evictedBody: 'unfinished body without progress, memory needed',
  evictedResponse: 'response not read, memory needed',
  noMemory: 'no memory left for the connection',
};

/** Error that a connection is closed with. */
export class CallerLimitError extends Error {
  public constructor(public readonly reason: GuardCause) {
    super(`connection of a caller closed: ${GUARD_CAUSE_TEXTS[reason]}`);
  }
}

/** Options of {@link guardConnections}. */
export interface GuardConnectionsOptions {
  readonly limits: ConnectionLimits;
  /** Event of the server for a new connection; `secureConnection` with TLS. */
  readonly connectionEvent?: 'connection' | 'secureConnection';
  /** Returns the time in milliseconds. */
  readonly now: () => number;
  readonly onLimit?: (event: GuardEvent) => void;
}

/** Memory of the body of one request. */
export interface BodyReservation {
  /** Reserves more bytes; false without room. */
  readonly add: (bytes: number) => boolean;
  /** Records that bytes of the body arrived. */
  readonly recordProgress: () => void;
  /** Releases all reserved bytes. */
  readonly release: () => void;
}

/** Guard of the connections of one server. */
export interface ConnectionGuard {
  /** Counts a request until its response has ended; returns false when there is no memory for it. */
  readonly admit: (request: IncomingMessage, response: ServerResponse) => boolean;
  /** Reserves memory for the body of a request; undefined for a connection of another server. */
  readonly reserveBody: (socket: Socket) => BodyReservation | undefined;
  /** Counts what a connection holds for a client account; returns false when the account's share has no room. */
  readonly assignAccount: (socket: Socket, account: string) => boolean;
  readonly memory: Pick<MemoryAccount, 'countHeld'>;
  readonly countConnections: () => number;
  /** Ends the checks of the connections. */
  readonly close: () => void;
}

interface GuardedConnection {
  readonly socket: Socket;
  readonly address: string;
  readonly holder: MemoryHolder;
  readonly open: Map<ServerResponse, IncomingMessage>;
  gate: RequestGate | undefined;
  /** Latest request, whose body may be incomplete. */
  latest: IncomingMessage | undefined;
  /** Bytes that the caller's side had taken, and when that last changed. */
  takenBytes: number;
  takenAt: number;
}

const CHECK_INTERVAL_MILLISECONDS = 500;
/** Estimated memory of an open request and its response, without their headers and bodies. */
const REQUEST_BYTES = 8_192;
/** Listeners that each request of a connection adds to its socket, and those of the HTTP server. */
const LISTENERS_PER_REQUEST = 4;
const SERVER_LISTENERS = 16;

const EVICTION_CAUSES = { body: 'evictedBody', response: 'evictedResponse' } as const;

function countHeadBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, { length }) => sum + length, url.length);
}

function countWaitingBytes({ socket, open }: GuardedConnection): number {
  let bytes = socket.writableLength;
  // The first open response writes to the socket, and the others wait until it has ended.
  for (const response of open.keys()) if (!response.socket) bytes += response.writableLength;
  return bytes;
}

/** Sets what a connection holds of one kind; returns false without room. */
function setHeld(holder: MemoryHolder, kind: 'unparsed' | 'response', bytes: number): boolean {
  const held = holder.countHeld(kind);
  if (bytes > held) return holder.hold(kind, bytes - held) === undefined;
  holder.release(kind, held - bytes);
  return true;
}

/**
 * Limits the connections of a server.
 *
 * @param server - server of callers, which does not listen yet
 * @param options - the limits, the clock and the receiver of events
 * @returns the guard
 * @example
 * const guard = guardConnections(server, { limits, now });
 */
export function guardConnections(
  server: Server,
  options: GuardConnectionsOptions,
): ConnectionGuard {
  const { limits, connectionEvent = 'connection', now, onLimit = () => undefined } = options;
  const connectionLimit = createConnectionLimit({
    maximumTotal: limits.connections,
    maximumPerAddress: limits.connectionsPerAddress,
  });
  const { memoryBytes, connectionBytes, accountBytes, stallMilliseconds } = limits;
  const memory = createMemoryAccount({
    totalBytes: memoryBytes,
    connectionBytes,
    accountBytes,
    stallMilliseconds,
    now,
  });
  const connections = new Map<Socket, GuardedConnection>();

  const report = (cause: GuardCause, { address, holder, open }: GuardedConnection): void => {
    onLimit({ cause, address, heldBytes: holder.countHeld(), openRequests: open.size });
  };
  const end = (cause: GuardCause, connection: GuardedConnection): void => {
    report(cause, connection);
    connection.socket.destroy(new CallerLimitError(cause));
  };
  const updateRunning = ({ holder, open }: GuardedConnection): void => {
    holder.setRunning([...open.values()].filter(({ complete }) => complete).length);
  };

  const accept = (socket: Socket): void => {
    const address = socket.remoteAddress ?? '';
    const exceeded = connectionLimit.open(address);
    if (exceeded) {
      onLimit({ cause: exceeded, address, heldBytes: 0, openRequests: 0 });
      socket.destroy();
      return;
    }
    const connection: GuardedConnection = {
      socket,
      address,
      holder: memory.openHolder((kind) => {
        end(kind === 'response' ? EVICTION_CAUSES.response : EVICTION_CAUSES.body, connection);
      }),
      open: new Map(),
      gate: undefined,
      latest: undefined,
      takenBytes: 0,
      takenAt: now(),
    };
    connections.set(socket, connection);
    socket.setMaxListeners(SERVER_LISTENERS + limits.pipelinedRequests * LISTENERS_PER_REQUEST);
    connection.gate = limitPipelining(socket, {
      // The rest of a body is parsed also on a full connection, because its request waits for nothing else.
      isFull: () =>
        connection.open.size >= limits.pipelinedRequests && connection.latest?.complete !== false,
      onWait: (bytes) => {
        if (!setHeld(connection.holder, 'unparsed', bytes)) end('noMemory', connection);
      },
    });
    socket.once('close', () => {
      connections.delete(socket);
      connectionLimit.close(address);
      connection.holder.close();
    });
  };

  /** Measures what waits for the reader, and closes a connection whose caller has read nothing for too long. */
  const check = (connection: GuardedConnection): void => {
    const { socket, holder } = connection;
    if (socket.destroyed) return;
    const waiting = countWaitingBytes(connection);
    const taken = socket.bytesWritten - socket.writableLength;
    if (waiting === 0 || taken !== connection.takenBytes) {
      connection.takenBytes = taken;
      connection.takenAt = now();
      if (waiting > 0) holder.recordProgress();
    }
    if (now() - connection.takenAt >= limits.unreadMilliseconds) end('unread', connection);
    else if (!setHeld(holder, 'response', waiting)) end('noMemory', connection);
  };

  server.maxConnections = limits.connections;
  server.on(connectionEvent, accept);
  server.on('drop', (dropped?: { readonly remoteAddress?: string }) => {
    const address = dropped?.remoteAddress ?? '';
    onLimit({ cause: 'total', address, heldBytes: 0, openRequests: 0 });
  });
  const timer = setInterval(() => {
    for (const connection of connections.values()) check(connection);
  }, CHECK_INTERVAL_MILLISECONDS);
  timer.unref();

  return {
    admit: (request, response) => {
      const connection = connections.get(request.socket);
      if (!connection) return true;
      const { holder, open, gate } = connection;
      open.set(response, request);
      connection.latest = request;
      const bytes = REQUEST_BYTES + countHeadBytes(request);
      const isHeld = holder.hold('request', bytes) === undefined;
      updateRunning(connection);
      request.once('end', () => {
        updateRunning(connection);
      });
      response.once('close', () => {
        open.delete(response);
        if (isHeld) holder.release('request', bytes);
        updateRunning(connection);
        gate?.resume();
      });
      if (!isHeld) report('noMemory', connection);
      return isHeld;
    },
    reserveBody: (socket) => {
      const connection = connections.get(socket);
      if (!connection) return undefined;
      const { holder } = connection;
      let reserved = 0;
      return {
        add: (bytes) => {
          if (holder.hold('body', bytes) !== undefined) return false;
          reserved += bytes;
          return true;
        },
        recordProgress: holder.recordProgress,
        release: () => {
          holder.release('body', reserved);
          reserved = 0;
        },
      };
    },
    assignAccount: (socket, account) =>
      connections.get(socket)?.holder.assignAccount(account) ?? true,
    memory,
    countConnections: connectionLimit.countOpen,
    close: () => {
      clearInterval(timer);
    },
  };
}
