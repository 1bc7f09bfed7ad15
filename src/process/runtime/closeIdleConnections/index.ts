/**
 * Closing of the connections that an agent keeps for later calls.
 */
import type { Agent } from 'node:http';

/**
 * Closes the idle connections of an agent; calls in progress go on.
 *
 * @param agent - the agent
 * @returns nothing
 * @example
 * closeIdleConnections(agent); // the next call opens a new connection
 */
export function closeIdleConnections({ freeSockets }: Pick<Agent, 'freeSockets'>): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of [...(sockets ?? [])]) socket.destroy();
  }
}
