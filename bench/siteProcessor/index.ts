/**
 * Measures the processor time that a node of the platform bundle uses to start, while idle, and per
 * stream.
 */
import type { Row } from '../../src/commands/printOutput/index.js';
import { sleep } from '../sleep/index.js';
import { spawnPlatform, type SpawnedPlatform } from '../spawnPlatform/index.js';
import { round, type Measurement } from '../types.js';

/** Nodes and endpoints of the deployments that are measured. */
const SIZES = [
  { nodes: 6, endpoints: 38 },
  { nodes: 83, endpoints: 99 },
  { nodes: 195, endpoints: 205 },
] as const;
/** Time for layer orders and the first messages between nodes to complete. */
const SETTLE_MILLISECONDS = 8_000;
const IDLE_MILLISECONDS = 20_000;
const EVENTS = 42;
const STREAMS_PER_NODE = 20;
/** Number of nodes that serve streams at the same time. */
const SERVING_NODES = 6;
/** Maximum share of a core that a node may use for control work. */
const MAXIMUM_IDLE_PERCENT = 1.8;
/** Maximum memory that a node may use for control work. */
const MAXIMUM_MEGABYTES = 64;

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

async function requestStreams(platform: SpawnedPlatform, nodes: number): Promise<number> {
  let completeStreams = 0;
  await Promise.all(
    Array.from({ length: Math.min(SERVING_NODES, nodes) }, async (_, node) => {
      for (let stream = 0; stream < STREAMS_PER_NODE; stream += 1) {
        if (await platform.requestStream(node)) completeStreams += 1;
      }
    }),
  );
  return completeStreams;
}

async function measureSize(size: { nodes: number; endpoints: number }): Promise<Row> {
  const program = process.env.SITE_PROGRAM;
  const platform = await spawnPlatform({
    ...size,
    events: EVENTS,
    ...(program && { program }),
  });
  try {
    const startSeconds = computeMean(platform.readProcessorSeconds());
    await sleep(SETTLE_MILLISECONDS);
    const settled = platform.readProcessorSeconds();
    await sleep(IDLE_MILLISECONDS);
    const idle = platform.readProcessorSeconds();
    const idleSeconds = computeMean(idle) - computeMean(settled);
    const busiest = Math.max(...idle.map((seconds, index) => seconds - (settled[index] ?? 0)));
    const beforeStreams = idle.slice(0, SERVING_NODES);
    const streamsStartedAt = performance.now();
    const completeStreams = await requestStreams(platform, size.nodes);
    const streamsMilliseconds = performance.now() - streamsStartedAt;
    const afterStreams = platform.readProcessorSeconds().slice(0, SERVING_NODES);
    const idleDuringStreams = (idleSeconds * streamsMilliseconds) / IDLE_MILLISECONDS;
    const streamSeconds =
      (computeMean(afterStreams) - computeMean(beforeStreams) - idleDuringStreams) /
      STREAMS_PER_NODE;
    return {
      ...size,
      'start s': round(startSeconds, 3),
      'settling s': round(computeMean(settled) - startSeconds, 3),
      'idle % of a core': round((idleSeconds * 100_000) / IDLE_MILLISECONDS, 2),
      'busiest %': round((busiest * 100_000) / IDLE_MILLISECONDS, 2),
      'stream ms': round(streamSeconds * 1_000, 2),
      'whole streams': completeStreams,
      'private MB': round(computeMean(platform.readMemoryMegabytes())),
    };
  } finally {
    await platform.close();
  }
}

/**
 * Measures the processor time and memory of a node at each deployment size.
 *
 * The environment variable SITE_PROGRAM selects another program; SITE_NODES limits the run to the
 * size with that number of nodes.
 */
export async function measureSiteProcessor(): Promise<Measurement> {
  const rows: Row[] = [];
  const selectedNodes = Number(process.env.SITE_NODES ?? 0);
  for (const size of SIZES)
    if (selectedNodes === 0 || size.nodes === selectedNodes) rows.push(await measureSize(size));
  const idle = Math.max(...rows.map((row) => Number(row['idle % of a core'])));
  const memory = Math.max(...rows.map((row) => Number(row['private MB'])));
  return {
    rows,
    targets: [
      {
        name: 'idle node at the largest size, percent of a core',
        target: `at most ${MAXIMUM_IDLE_PERCENT}`,
        measured: String(idle),
        isMet: idle <= MAXIMUM_IDLE_PERCENT,
      },
      {
        name: 'private memory of a node, MB',
        target: `at most ${MAXIMUM_MEGABYTES}`,
        measured: String(memory),
        isMet: memory <= MAXIMUM_MEGABYTES,
      },
    ],
  };
}
