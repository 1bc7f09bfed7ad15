/**
 * Nodes of the platform's bundle as separate processes on loopback, before stand-ins of the store and
 * of endpoints that this process serves.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PLATFORM_SITE_HOST, servePlatformSite } from '../../standins/servePlatformSite/index.js';
import { askWhole } from '../askWhole/index.js';
import { findHost, spawnNode } from '../spawnNode/index.js';

/** Options of {@link spawnPlatform}. */
export interface SpawnPlatformOptions {
  readonly nodes: number;
  readonly endpoints: number;
  /** Events of each answer. */
  readonly events: number;
  /** Program of a node; the one that the build makes by default. */
  readonly program?: string;
}

/** Nodes that run. */
export interface SpawnedPlatform {
  /** Processor time that each node has used since its start, in seconds. */
  readonly readProcessorSeconds: () => number[];
  /** Private memory of each node, in megabytes. */
  readonly readMemoryMegabytes: () => number[];
  /** Asks a node for one whole stream; resolves to whether it came whole. */
  readonly ask: (node: number) => Promise<boolean>;
  readonly close: () => Promise<void>;
}

const SEEDS = 3;

/**
 * Starts nodes and waits until all are ready.
 *
 * @param options - how many nodes and endpoints, and which program
 * @returns the nodes
 * @example
 * const platform = await spawnPlatform({ nodes: 6, endpoints: 38, events: 42 });
 */
export async function spawnPlatform(options: SpawnPlatformOptions): Promise<SpawnedPlatform> {
  const { nodes, endpoints, events } = options;
  const { program = 'target/marjoramcleat-platform.cjs' } = options;
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-nodes-'));
  const { storeAddress, close } = await servePlatformSite({ endpoints, events });
  const seeds = Array.from({ length: SEEDS }, (_, seed) => findHost(seed));
  const spawned = Array.from({ length: nodes }, (_, index) =>
    spawnNode({ index, host: findHost(index), storeAddress, seeds, folder, program }),
  );
  await Promise.all(spawned.map((node) => node.waitUntilReady()));
  let asked = 0;
  return {
    readProcessorSeconds: () => spawned.map((node) => node.readProcessorSeconds()),
    readMemoryMegabytes: () => spawned.map((node) => node.readMemoryMegabytes()),
    ask: async (node) => {
      asked += 1;
      const address = spawned[node]?.callerAddress ?? '';
      const status = await askWhole(address, '/ask/one', {
        Host: PLATFORM_SITE_HOST,
        'Attempt-Id': `attempt-${asked}`,
        'Deadline-Ms': '20000',
        'Token-Counts': '760,250',
      });
      return status === 200;
    },
    close: async () => {
      for (const node of spawned) node.kill('SIGTERM');
      await Promise.all(spawned.map(({ ended }) => ended));
      await close();
      rmSync(folder, { recursive: true });
    },
  };
}
