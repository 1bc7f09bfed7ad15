/**
 * Starts a node of the platform bundle as a separate process on its own loopback address.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, closeSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { z } from 'zod';
import { createNodeSettings } from '../../standins/servePlatformSite/index.js';
import { claimLoopbackRange } from '../claimLoopbackRange/index.js';
import { fetchStatus } from '../fetchStatus/index.js';
import { sleep } from '../sleep/index.js';

/** Options of {@link spawnNode}. */
export interface SpawnNodeOptions {
  /** Index of the node; its name and availability zone follow from it. */
  readonly index: number;
  /** Loopback address, see {@link computeLoopbackAddress}. */
  readonly host: string;
  readonly storeAddress: string;
  /** Hosts of the seed nodes. */
  readonly seeds: readonly string[];
  /** Folder that the settings file is written to. */
  readonly folder: string;
  readonly program: string;
  /** File that the output of the node is appended to. By default, standard output is discarded. */
  readonly logFile?: string;
  /** Settings in addition to those of the stand-in. */
  readonly settings?: object;
}

/** Node process, running or exited. */
export interface SpawnedNode {
  readonly host: string;
  readonly callerAddress: string;
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or with null when a signal ended the process. */
  readonly exited: Promise<number | null>;
  readonly hasExited: () => boolean;
  /**
   * Resolves when the node reports that it is ready; rejects on time-out or when the node has
   * exited.
   */
  readonly waitUntilReady: () => Promise<void>;
  /** Returns the processor time since the start, in seconds. */
  readonly readProcessorSeconds: () => number;
  /** Returns the private memory in megabytes; undefined when the process has ended. */
  readonly readMemoryMegabytes: () => number | undefined;
  /** Returns the number of open files and sockets. */
  readonly countDescriptors: () => number;
}

const CALLER_PORT = 8_227;
const READINESS_PORT = 8_220;
const DIRECTORY_PORT = 8_224;
const PEER_PORT = 7_340;
const NODES_PER_NETWORK = 200;
const FIRST_NETWORK = 20;
const READY_CHECK_MILLISECONDS = 50;
const READY_TIMEOUT_MILLISECONDS = 60_000;
const CLOCK_TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** Errors of reading a file of a process that has ended, whether or not its exit was collected. */
const endedSchema = z.object({ code: z.enum(['ESRCH', 'ENOENT']) });

/**
 * Running nodes. They are killed when this process exits, unless a signal ends it before its exit
 * handlers run.
 */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/**
 * Computes the loopback address of a node of this process. Each node has its own, so that all can
 * use the same ports. Processes have different ranges, so that runs can overlap.
 *
 * @param index - index of the node, from 0
 * @returns the address
 * @example
 * await computeLoopbackAddress(0); // '127.77.20.1' in a process whose range is 77
 */
export async function computeLoopbackAddress(index: number): Promise<string> {
  const range = await claimLoopbackRange();
  const network = FIRST_NETWORK + Math.floor(index / NODES_PER_NETWORK);
  return `127.${range}.${network}.${1 + (index % NODES_PER_NETWORK)}`;
}

function readProcessorSeconds(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

/** Reads a file of a process; undefined when the process has ended. */
function readProcessFile(processId: number, name: string): string | undefined {
  try {
    return readFileSync(`/proc/${processId}/${name}`, 'utf8');
  } catch (error) {
    if (endedSchema.safeParse(error).success) return undefined;
    throw error;
  }
}

function readPrivateMegabytes(processId: number): number | undefined {
  const text = readProcessFile(processId, 'smaps_rollup');
  if (text === undefined) return undefined;
  const kilobytes = [...text.matchAll(/^Private_\w+:\s+(\d+) kB/gm)].map(([, value]) =>
    Number(value),
  );
  return kilobytes.reduce((sum, value) => sum + value, 0) / KILOBYTES_PER_MEGABYTE;
}

function createSettings(options: SpawnNodeOptions): object {
  const { index, host, storeAddress, seeds, settings = {} } = options;
  const addresses = {
    ip: host,
    callerPort: CALLER_PORT,
    readinessPort: READINESS_PORT,
    directoryPort: DIRECTORY_PORT,
    peerPort: PEER_PORT,
  };
  const site = { storeAddress, seeds: seeds.map((seed) => `${seed}:${PEER_PORT}`) };
  return { ...createNodeSettings(index, addresses, site), ...settings };
}

/**
 * Starts a node.
 *
 * @param options - index, addresses, folder and program of the node
 * @returns the node; it may not be ready yet
 * @example
 * await spawnNode(options).waitUntilReady();
 */
export function spawnNode(options: SpawnNodeOptions): SpawnedNode {
  const { index, host, folder, program, logFile } = options;
  const settings = join(folder, `node-${index}.json`);
  writeFileSync(settings, JSON.stringify(createSettings(options)));
  const log = logFile === undefined ? undefined : openSync(logFile, 'a');
  const child = spawn(process.execPath, ['--max-old-space-size=200', program], {
    stdio: ['ignore', log ?? 'ignore', log ?? 'inherit'],
    env: { ...process.env, MARJORAMCLEAT_BOOT: settings },
  });
  if (log !== undefined) closeSync(log);
  runningChildren.add(child);
  const processId = child.pid ?? 0;
  let hasExited = false;
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => {
      hasExited = true;
      runningChildren.delete(child);
      resolve(code);
    });
  });
  return {
    host,
    callerAddress: `${host}:${CALLER_PORT}`,
    kill: (signal) => {
      child.kill(signal);
    },
    exited,
    hasExited: () => hasExited,
    waitUntilReady: async () => {
      const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
      while (performance.now() < until && !hasExited) {
        if ((await fetchStatus(`${host}:${READINESS_PORT}`, '/readyz', {})) === 200) return;
        await sleep(READY_CHECK_MILLISECONDS);
      }
      throw new Error(
        `the node at ${host} exited, or was not ready within ${READY_TIMEOUT_MILLISECONDS} ms`,
      );
    },
    readProcessorSeconds: () => readProcessorSeconds(processId),
    readMemoryMegabytes: () => readPrivateMegabytes(processId),
    countDescriptors: () => readdirSync(`/proc/${processId}/fd`).length,
  };
}
