/**
 * TCP proxy on loopback with injected link faults.
 */
import { createServer, connect, type Socket } from 'node:net';
import { sleep } from '../../bench/sleep/index.js';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';

/** Kinds of link faults. */
export type LinkFault =
  /** Delays data in both directions. */
  | 'delay'
  /** Forwards data in small chunks with pauses. */
  | 'trickle'
  /** Resets open and new connections. */
  | 'reset'
  /** Blocks data to the server without an error on either side. */
  | 'cutToServer'
  /** Blocks data to the client without an error on either side. */
  | 'cutToClient'
  /** Blocks data in both directions without an error on either side. */
  | 'silence'
  /** Sends each chunk of the server a second time after a delay. */
  | 'repeat';

/** Proxied link between clients and a server. */
export interface LinkProxy {
  /** Address on which clients connect. */
  readonly address: string;
  /** Sets the target of new connections; undefined when no server is listening. */
  readonly retarget: (address: string | undefined) => void;
  readonly startFault: (fault: LinkFault) => void;
  readonly stopFault: (fault: LinkFault) => void;
  /** Drops all further data of the connections that are open now, without an error on either side; new ones work. */
  readonly silenceConnections: () => void;
  readonly close: () => Promise<void>;
}

const DELAY_MILLISECONDS = 150;
const TRICKLE_BYTES = 48;
const TRICKLE_MILLISECONDS = 15;
const REPEAT_MILLISECONDS = 120;
/** Interval between checks of whether a blocked direction is open again. */
const BLOCK_CHECK_MILLISECONDS = 20;

type Direction = 'toServer' | 'toClient';

/** State of one proxied connection. */
interface ProxiedConnection {
  isSilent: boolean;
}

const BLOCKING_FAULTS: Readonly<Record<Direction, readonly LinkFault[]>> = {
  toServer: ['cutToServer', 'silence'],
  toClient: ['cutToClient', 'silence'],
};

/** Splits a chunk into parts of a maximum size. */
function splitBytes(chunk: Buffer, size: number): Buffer[] {
  const parts: Buffer[] = [];
  for (let start = 0; start < chunk.length; start += size) {
    parts.push(chunk.subarray(start, start + size));
  }
  return parts;
}

/**
 * Starts a TCP proxy on loopback.
 *
 * Blocked data is retained, as in a network that retransmits it: it is forwarded when the fault ends,
 * unless the connection has closed before.
 *
 * @param target - address of the server; undefined when no server is listening yet
 * @returns the proxied link
 * @example
 * const link = await createProxy('127.0.0.1:8080');
 * link.startFault('silence');
 */
export async function createProxy(target: string | undefined): Promise<LinkProxy> {
  const active = new Set<LinkFault>();
  const sockets = new Set<Socket>();
  const connections = new Set<ProxiedConnection>();
  let currentTarget = target;
  let isClosed = false;
  const isBlocked = (direction: Direction): boolean =>
    BLOCKING_FAULTS[direction].some((fault) => active.has(fault));

  const forward = async (chunk: Buffer, to: Socket, direction: Direction): Promise<void> => {
    if (active.has('delay')) await sleep(DELAY_MILLISECONDS);
    while (isBlocked(direction) && !isClosed && !to.destroyed)
      await sleep(BLOCK_CHECK_MILLISECONDS);
    const parts = active.has('trickle') ? splitBytes(chunk, TRICKLE_BYTES) : [chunk];
    for (const part of parts) {
      if (to.destroyed) return;
      to.write(part);
      if (parts.length > 1) await sleep(TRICKLE_MILLISECONDS);
    }
    if (direction !== 'toClient' || !active.has('repeat')) return;
    setTimeout(() => {
      if (!to.destroyed && to.writable) to.write(chunk);
    }, REPEAT_MILLISECONDS);
  };
  /** Forwards data in order; when one side ends, the other side ends after the forwarded data. */
  const forwardInOrder = (
    from: Socket,
    to: Socket,
    { direction, connection }: { direction: Direction; connection: ProxiedConnection },
  ): void => {
    let last: Promise<void> = Promise.resolve();
    from.on('data', (chunk: Buffer) => {
      from.pause();
      last = last.then(async () => {
        if (!connection.isSilent) await forward(chunk, to, direction);
        from.resume();
      });
    });
    from.on('end', () => {
      last = last.then(() => {
        if (!to.destroyed && !connection.isSilent) to.end();
      });
    });
    from.on('close', () => {
      // Forwards data that was read before the close first, unless the link was reset.
      last = last.then(() => {
        if (!connection.isSilent) to.destroy();
      });
    });
  };
  const handleConnection = (client: Socket): void => {
    if (currentTarget === undefined || active.has('reset')) {
      client.resetAndDestroy();
      return;
    }
    const [host, port] = currentTarget.split(':');
    const server = connect({ host, port: Number(port), allowHalfOpen: true });
    const connection: ProxiedConnection = { isSilent: false };
    connections.add(connection);
    client.on('close', () => connections.delete(connection));
    for (const socket of [client, server]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {
        // The close handler ends the other side after a reset.
      });
      socket.on('close', () => sockets.delete(socket));
    }
    server.on('error', () => {
      client.resetAndDestroy();
    });
    forwardInOrder(client, server, { direction: 'toServer', connection });
    forwardInOrder(server, client, { direction: 'toClient', connection });
  };
  const listener = createServer({ allowHalfOpen: true }, handleConnection);
  const address = await listenOnLoopback(listener);
  return {
    address,
    retarget: (next) => {
      currentTarget = next;
    },
    startFault: (fault) => {
      active.add(fault);
      if (fault === 'reset') for (const socket of sockets) socket.resetAndDestroy();
    },
    stopFault: (fault) => {
      active.delete(fault);
    },
    silenceConnections: () => {
      for (const connection of connections) connection.isSilent = true;
    },
    close: () =>
      new Promise((resolve) => {
        isClosed = true;
        for (const socket of sockets) socket.destroy();
        listener.close(() => {
          resolve();
        });
      }),
  };
}
