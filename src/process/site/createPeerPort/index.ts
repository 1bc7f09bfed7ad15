/**
 * Communication with other nodes: datagrams, and HTTP requests for data that is too long for them.
 */
import { createSocket, type Socket } from 'node:dgram';
import { Agent } from 'node:http';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { callJson } from '../../runtime/callJson/index.js';
import { splitAddress } from '../../runtime/splitAddress/index.js';
import type { PeerPort } from '../createPeerExchange/index.js';

/** Options of {@link createPeerPort}. */
export interface CreatePeerPortOptions {
  /** Address of this node for other nodes, for datagrams and HTTP. */
  readonly address: string;
  readonly lifeCycle: LifeCycle;
  /** Called with each datagram and the address of its sender. */
  readonly onMessage: (bytes: Uint8Array, address: string) => void;
  readonly onFailure: (error: Error) => void;
}

const TIMEOUT_MILLISECONDS = 600;
/** Time limit of a request whose reply goes on arriving. */
const MAXIMUM_REQUEST_MILLISECONDS = 2_000;
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
 * @param options - the address, the life cycle that closes the port, and the callbacks
 * @returns the port; rejects when the address is in use
 * @example
 * const port = await createPeerPort({ address: '10.0.0.1:7340', lifeCycle, onMessage, onFailure });
 */
export async function createPeerPort(options: CreatePeerPortOptions): Promise<PeerPort> {
  const { address, lifeCycle, onMessage, onFailure } = options;
  const agent = new Agent({ keepAlive: false });
  const socket = createSocket({
    type: 'udp4',
    // All addresses are numeric; the runtime's own lookup costs more than the other parts of a send.
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
      const target = splitAddress(to);
      // A datagram that cannot be sent is treated like one that is lost on the network.
      if (isOpen && target) socket.send(message, target.port, target.host, () => undefined);
    },
    sendRequest: async (to, request) => {
      const call = { address: to, method: 'POST', path: '/news', body: request, agent };
      const result = await callJson({
        ...call,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        maximumMilliseconds: MAXIMUM_REQUEST_MILLISECONDS,
      });
      return result.kind === 'answered' ? result.value : undefined;
    },
  };
}
