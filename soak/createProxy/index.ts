/**
 * A link on loopback that can be disturbed: a proxy of TCP connections.
 */
import { createServer, connect, type Socket } from 'node:net';
import { sleep } from '../../bench/sleep/index.js';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';

/** Ways to disturb a link. */
export type LinkFault =
  /** Bytes come late, in both directions. */
  | 'delay'
  /** Bytes come a few at a time. */
  | 'trickle'
  /** Connections are reset, new ones as well. */
  | 'reset'
  /** Bytes to the server are lost on the way, and nobody is told. */
  | 'cutToServer'
  /** Bytes to the client are lost on the way, and nobody is told. */
  | 'cutToClient'
  /** Nothing passes in either direction, and nobody is told. */
  | 'silence'
  /** The last bytes of the server come a second time, late. */
  | 'repeat';

/** A link. */
export interface LinkProxy {
  /** Where clients connect. */
  readonly address: string;
  /** Sets where connections are passed on to from now on; undefined when nobody listens. */
  readonly retarget: (address: string | undefined) => void;
  readonly begin: (fault: LinkFault) => void;
  readonly end: (fault: LinkFault) => void;
  readonly close: () => Promise<void>;
}

const DELAY_MILLISECONDS = 150;
const TRICKLE_BYTES = 48;
const TRICKLE_MILLISECONDS = 15;
const REPEAT_MILLISECONDS = 120;
/** Pause between two looks at whether a cut has ended. */
const CUT_CHECK_MILLISECONDS = 20;

type Direction = 'toServer' | 'toClient';

const CUTS: Readonly<Record<Direction, readonly LinkFault[]>> = {
  toServer: ['cutToServer', 'silence'],
  toClient: ['cutToClient', 'silence'],
};

/** Splits bytes into what passes at a time. */
function splitBytes(chunk: Buffer, size: number): Buffer[] {
  const parts: Buffer[] = [];
  for (let start = 0; start < chunk.length; start += size) {
    parts.push(chunk.subarray(start, start + size));
  }
  return parts;
}

/**
 * Serves a link on loopback.
 *
 * Bytes that are cut off are held back as a network would: they come once the cut has ended, unless
 * the connection has ended before.
 *
 * @param target - where connections are passed on to; undefined when nobody listens yet
 * @returns the link
 * @example
 * const link = await createProxy('127.0.0.1:8080');
 * link.begin('silence');
 */
export async function createProxy(target: string | undefined): Promise<LinkProxy> {
  const active = new Set<LinkFault>();
  const sockets = new Set<Socket>();
  let goal = target;
  let isClosed = false;
  const isCut = (direction: Direction): boolean =>
    CUTS[direction].some((fault) => active.has(fault));

  const passOn = async (chunk: Buffer, to: Socket, direction: Direction): Promise<void> => {
    if (active.has('delay')) await sleep(DELAY_MILLISECONDS);
    while (isCut(direction) && !isClosed && !to.destroyed) await sleep(CUT_CHECK_MILLISECONDS);
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
  /** Passes bytes on in order; the end of one side ends the other after them. */
  const pump = (from: Socket, to: Socket, direction: Direction): void => {
    let last: Promise<void> = Promise.resolve();
    from.on('data', (chunk: Buffer) => {
      from.pause();
      last = last.then(async () => {
        await passOn(chunk, to, direction);
        from.resume();
      });
    });
    from.on('end', () => {
      last = last.then(() => {
        if (!to.destroyed) to.end();
      });
    });
    from.on('close', () => {
      // What was read before goes on first, unless the link was reset.
      last = last.then(() => {
        to.destroy();
      });
    });
  };
  const open = (client: Socket): void => {
    if (goal === undefined || active.has('reset')) {
      client.resetAndDestroy();
      return;
    }
    const [host, port] = goal.split(':');
    const server = connect({ host, port: Number(port), allowHalfOpen: true });
    for (const socket of [client, server]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {
        // A reset of one side is passed on by its end.
      });
      socket.on('close', () => sockets.delete(socket));
    }
    server.on('error', () => {
      client.resetAndDestroy();
    });
    pump(client, server, 'toServer');
    pump(server, client, 'toClient');
  };
  const listener = createServer({ allowHalfOpen: true }, open);
  const address = await listenOnLoopback(listener);
  return {
    address,
    retarget: (next) => {
      goal = next;
    },
    begin: (fault) => {
      active.add(fault);
      if (fault === 'reset') for (const socket of sockets) socket.resetAndDestroy();
    },
    end: (fault) => {
      active.delete(fault);
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
