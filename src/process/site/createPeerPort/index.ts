/**
 * Messages to other nodes over HTTP.
 */
import { Agent } from 'node:http';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import { callJson } from '../../runtime/callJson/index.js';
import type { PeerPort } from '../exchangeNews/index.js';

const TIMEOUT_MILLISECONDS = 600;

/**
 * Creates the port to other nodes.
 *
 * @param lifeCycle - owner that closes its connections
 * @returns the port
 * @example
 * await createPeerPort(lifeCycle).tell('10.0.0.2:7340', message);
 */
export function createPeerPort(lifeCycle: LifeCycle): PeerPort {
  const agent = new Agent({ keepAlive: true });
  lifeCycle.own({
    name: 'peer connections',
    close: () => {
      agent.destroy();
    },
  });
  return {
    tell: async (address, body) => {
      const timeoutMilliseconds = TIMEOUT_MILLISECONDS;
      const call = { address, method: 'POST', path: '/news', body, agent, timeoutMilliseconds };
      const result = await callJson(call);
      return result.kind === 'answered' ? result.value : undefined;
    },
  };
}
