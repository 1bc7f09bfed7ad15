/**
 * Address that only odd entries of the registry name; it records the requests that reach it.
 */
import { createServer } from 'node:http';
import { computeLoopbackAddress } from '../../bench/spawnNode/index.js';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';
import { readRequestId } from '../readEndpointRequest/index.js';
import type { SoakRecord } from '../types/index.js';

/** Running server. */
export interface OddAddress {
  readonly address: string;
  readonly close: () => Promise<void>;
}

/**
 * Index of the host in the range of this process, above those of the nodes: requests of another process cannot reach it,
 * as they may reach a free port of the common address.
 */
const HOST_INDEX = 199;

/**
 * Starts the server; it refuses what it receives.
 *
 * @param record - record to which the requests are added
 * @param now - monotonic clock in milliseconds
 * @returns the running server
 * @example
 * const oddAddress = await serveOddAddress(record, now);
 */
export async function serveOddAddress(record: SoakRecord, now: () => number): Promise<OddAddress> {
  const server = createServer(({ method = '', url = '' }, response) => {
    record.strays.push({ request: readRequestId(url), method, url, at: now() });
    response.writeHead(503, { 'Not-Executed': '1' }).end();
  });
  const address = await listenOnLoopback(server, {
    host: await computeLoopbackAddress(HOST_INDEX),
  });
  return {
    address,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}
