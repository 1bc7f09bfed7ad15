/**
 * Starts nodes of the platform bundle as separate processes on loopback addresses. This process
 * serves the stand-ins of the store and of the endpoints.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PLATFORM_SITE_HOST, servePlatformSite } from '../../standins/servePlatformSite/index.js';
import { fetchStatus } from '../fetchStatus/index.js';
import { computeLoopbackAddress, spawnNode } from '../spawnNode/index.js';

/** Options of {@link spawnPlatform}. */
export interface SpawnPlatformOptions {
  readonly nodes: number;
  readonly endpoints: number;
  /** Number of events in each response. */
  readonly events: number;
  /** Path of the node's program; the built platform bundle by default. */
  readonly program?: string;
}

/** Running nodes with their stand-ins. */
export interface SpawnedPlatform {
  /** Returns the processor time that each node has used since its start, in seconds. */
  readonly readProcessorSeconds: () => number[];
  /** Returns the private memory of each running node, in megabytes. */
  readonly readMemoryMegabytes: () => number[];
  /** Requests a stream from a node; resolves with whether it was complete. */
  readonly requestStream: (node: number) => Promise<boolean>;
  readonly close: () => Promise<void>;
}

const SEEDS = 3;

/**
 * Starts nodes and waits until all are ready.
 *
 * @param options - number of nodes and endpoints, events per response, and the program
 * @returns the running nodes
 * @example
 * const platform = await spawnPlatform({ nodes: 6, endpoints: 38, events: 42 });
 */
export async function spawnPlatform(options: SpawnPlatformOptions): Promise<SpawnedPlatform> {
  const { nodes, endpoints, events } = options;
  const { program = 'target/marjoramcleat-platform.cjs' } = options;
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-nodes-'));
  const { storeAddress, close } = await servePlatformSite({ endpoints, events });
  const hosts = await Promise.all(
    Array.from({ length: Math.max(nodes, SEEDS) }, (_, index) => computeLoopbackAddress(index)),
  );
  const seeds = hosts.slice(0, SEEDS);
  const spawned = hosts
    .slice(0, nodes)
    .map((host, index) => spawnNode({ index, host, storeAddress, seeds, folder, program }));
  await Promise.all(spawned.map((node) => node.waitUntilReady()));
  let requestCount = 0;
  return {
    readProcessorSeconds: () => spawned.map((node) => node.readProcessorSeconds()),
    readMemoryMegabytes: () => spawned.flatMap((node) => node.readMemoryMegabytes() ?? []),
    requestStream: async (node) => {
      requestCount += 1;
      const address = spawned[node]?.callerAddress ?? '';
      const status = await fetchStatus(address, '/ask/one', {
        Host: PLATFORM_SITE_HOST,
        'Attempt-Id': `attempt-${requestCount}`,
        'Deadline-Ms': '20000',
        'Token-Counts': '760,250',
      });
      return status === 200;
    },
    close: async () => {
      for (const node of spawned) node.kill('SIGTERM');
      await Promise.all(spawned.map(({ exited }) => exited));
      await close();
      rmSync(folder, { recursive: true });
    },
  };
}
