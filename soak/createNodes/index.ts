/**
 * The nodes of a soak run: processes that are frozen, killed, stopped and started again.
 */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { findHost, spawnNode, type SpawnedNode } from '../../bench/spawnNode/index.js';
import { createProxy, type LinkProxy } from '../createProxy/index.js';
import type { SoakRecord } from '../types/index.js';

/** Options of {@link createNodes}. */
export interface CreateNodesOptions {
  readonly count: number;
  readonly storeAddress: string;
  readonly program: string;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Time in which a node has to end when it is asked to, in milliseconds. */
  readonly stopMilliseconds: number;
}

/** One node of a run, through all starts of its process. */
export interface SoakNode {
  readonly name: string;
  readonly callers: LinkProxy;
  readonly store: LinkProxy;
  readonly getBirth: () => number;
  readonly isRunning: () => boolean;
  readonly start: () => Promise<void>;
  readonly freeze: () => void;
  readonly thaw: () => void;
  readonly reload: () => void;
  readonly kill: () => Promise<void>;
  /** Asks it to end; kills it when it does not. */
  readonly stop: () => Promise<void>;
  /** Gives it another address from its next start on. */
  readonly move: () => void;
  /** Notes how many files it has open, and its memory. */
  readonly sight: () => void;
  readonly close: () => Promise<void>;
}

/** Settings of all nodes: a retry budget that a small run can use up. */
const SETTINGS = { bounds: { retry_slack: 20 } };
const SEEDS = 3;
/** Addresses after which a node that moves finds its next one. */
const MOVED_NODES = 400;
/** How much longer than it may take a node is waited for before it is killed, as a factor. */
const STOP_WAIT_FACTOR = 1.5;

async function createNode(index: number, options: CreateNodesOptions): Promise<SoakNode> {
  const { folder, record, now, program, storeAddress, stopMilliseconds } = options;
  const name = `node-${index}`;
  const callers = await createProxy(undefined);
  const store = await createProxy(storeAddress);
  const seeds = Array.from({ length: SEEDS }, (_, seed) => findHost(seed));
  let hostIndex = index;
  let birth = 0;
  let node: SpawnedNode | undefined;
  const getNode = (): SpawnedNode | undefined => (node?.hasEnded() === false ? node : undefined);
  const waitForEnd = async (running: SpawnedNode): Promise<boolean> => {
    const limit = new Promise<'late'>((resolve) => {
      setTimeout(() => {
        resolve('late');
      }, stopMilliseconds * STOP_WAIT_FACTOR).unref();
    });
    return (await Promise.race([running.ended, limit])) !== 'late';
  };
  const end = async (signal: 'SIGTERM' | 'SIGKILL'): Promise<void> => {
    const running = getNode();
    if (!running) return;
    const askedAt = now();
    running.kill(signal);
    const isInTime = await waitForEnd(running);
    const endedAt = isInTime ? now() : Infinity;
    if (!isInTime) running.kill('SIGKILL');
    const code = await running.ended;
    callers.retarget(undefined);
    const isPlanned = signal === 'SIGTERM';
    record.ends.push({ node: name, birth, isPlanned, askedAt, endedAt, code });
  };
  return {
    name,
    callers,
    store,
    getBirth: () => birth,
    isRunning: () => getNode() !== undefined,
    start: async () => {
      if (getNode()) return;
      birth += 1;
      const logFile = join(folder, `${name}.log`);
      const host = findHost(hostIndex);
      const common = { index, host, seeds, folder, program, logFile, settings: SETTINGS };
      node = spawnNode({ ...common, storeAddress: store.address });
      callers.retarget(node.callerAddress);
      await node.waitUntilReady();
    },
    freeze: () => getNode()?.kill('SIGSTOP'),
    thaw: () => getNode()?.kill('SIGCONT'),
    reload: () => getNode()?.kill('SIGHUP'),
    kill: () => end('SIGKILL'),
    stop: () => end('SIGTERM'),
    move: () => {
      hostIndex += MOVED_NODES;
    },
    sight: () => {
      const running = getNode();
      if (!running) return;
      record.processes.push({
        node: name,
        birth,
        at: now(),
        descriptors: running.countDescriptors(),
        megabytes: running.readMemoryMegabytes(),
      });
    },
    close: async () => {
      await end('SIGKILL');
      await callers.close();
      await store.close();
    },
  };
}

/**
 * Creates nodes, which do not run yet.
 *
 * @param options - how many, their program, and where to record
 * @returns the nodes
 * @example
 * const nodes = await createNodes(options);
 */
export function createNodes(options: CreateNodesOptions): Promise<SoakNode[]> {
  mkdirSync(options.folder, { recursive: true });
  return Promise.all(
    Array.from({ length: options.count }, (_, index) => createNode(index, options)),
  );
}
