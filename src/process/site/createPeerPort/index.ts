/**
 * Messages to other nodes: datagrams, and questions over HTTP for what does not fit into them.
 */
import { createSocket, type Socket } from 'node:dgram';
import { Agent } from 'node:http';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { callJson } from '../../runtime/callJson/index.js';
import type { PeerPort } from '../exchangeNews/index.js';

/** Options of {@link createPeerPort}. */
export interface CreatePeerPortOptions {
  /** Address of this node towards other nodes, for datagrams and HTTP alike. */
  readonly address: string;
  readonly lifeCycle: LifeCycle;
  /** Called with each datagram and the address that it came from. */
  readonly onMessage: (bytes: Uint8Array, address: string) => void;
  readonly onFailure: (error: Error) => void;
}

const TIMEOUT_MILLISECONDS = 600;
const IP_VERSION = 4;

function bind(socket: Socket, address: string): Promise<void> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(Number(port), host, () => {
      socket.off('error', reject);
      resolve();
    });
  });
}

/**
 * Opens the port to other nodes.
 *
 * @param options - the address, the owner that closes it, and what to call
 * @returns the port; rejects when the address is taken
 * @example
 * const port = await createPeerPort({ address: '10.0.0.1:7340', lifeCycle, onMessage, onFailure });
 */
export async function createPeerPort(options: CreatePeerPortOptions): Promise<PeerPort> {
  const { address, lifeCycle, onMessage, onFailure } = options;
  const agent = new Agent({ keepAlive: false });
  const socket = createSocket({
    type: 'udp4',
    // All addresses are numbers; the runtime's own look-up costs more than the rest of a send.
    lookup: (host, _, done) => {
      done(null, host, IP_VERSION);
    },
  });
  let isOpen = true;
  await bind(socket, address);
  socket.on('error', onFailure);
  socket.on('message', (bytes, { address: host, port }) => {
    onMessage(bytes, `${host}:${port}`);
  });
  lifeCycle.own({
    name: 'peer connections',
    close: () => {
      isOpen = false;
      agent.destroy();
      socket.close();
    },
  });
  return {
    send: (to, message) => {
      const [host, port] = to.split(':');
      // A datagram that is not sent is as good as one that is lost.
      if (isOpen) socket.send(message, Number(port), host, () => undefined);
    },
    ask: async (to, question) => {
      const call = { address: to, method: 'POST', path: '/news', body: question, agent };
      const result = await callJson({ ...call, timeoutMilliseconds: TIMEOUT_MILLISECONDS });
      return result.kind === 'answered' ? result.value : undefined;
    },
  };
}
