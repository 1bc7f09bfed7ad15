/**
 * Nodes of a soak run: processes that can be frozen, killed, stopped and restarted.
 */
import { mkdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  computeLoopbackAddress,
  spawnNode,
  type SpawnedNode,
} from '../../bench/spawnNode/index.js';
import { createProxy, type LinkProxy } from '../createProxy/index.js';
import type { SoakRecord } from '../types/index.js';

/** Options of {@link createNodes}. */
export interface CreateNodesOptions {
  readonly count: number;
  readonly storeAddress: string;
  readonly program: string;
  /** Folder of the settings and logs. */
  readonly folder: string;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Time in which a node has to exit after SIGTERM, in milliseconds. */
  readonly stopMilliseconds: number;
}

/** One node of a run, over all starts of its process. */
export interface SoakNode {
  readonly name: string;
  readonly callerLink: LinkProxy;
  readonly storeLink: LinkProxy;
  readonly getStartNumber: () => number;
  readonly isRunning: () => boolean;
  readonly start: () => Promise<void>;
  readonly freeze: () => void;
  readonly resume: () => void;
  readonly reload: () => void;
  readonly kill: () => Promise<void>;
  /** Sends SIGTERM, and SIGKILL when the process does not exit in time. */
  readonly stop: () => Promise<void>;
  /** Assigns another address, used from the next start on. */
  readonly changeAddress: () => void;
  /** Records the number of open files and the memory of the process. */
  readonly recordProcess: () => void;
  /** Records the lines of the log about exceptions that nothing caught. */
  readonly recordInternalErrors: () => void;
  readonly close: () => Promise<void>;
}

/** Settings of all nodes. The retry budget is so small that a short run can exhaust it. */
const SETTINGS = { bounds: { retry_slack: 20 } };
/** Mark of a log line about an exception that nothing caught. */
const INTERNAL_ERROR = '"internal-error"';
const SEEDS = 3;
/** Distance between the host indexes of a node's successive addresses. */
const HOST_INDEX_STEP = 400;
/** Time before a process that does not exit is killed, as a multiple of its stop limit. */
const STOP_WAIT_FACTOR = 1.5;

async function createNode(index: number, options: CreateNodesOptions): Promise<SoakNode> {
  const { folder, record, now, program, storeAddress, stopMilliseconds } = options;
  const name = `node-${index}`;
  const callerLink = await createProxy(undefined);
  const storeLink = await createProxy(storeAddress);
  const seeds = await Promise.all(
    Array.from({ length: SEEDS }, (_, seed) => computeLoopbackAddress(seed)),
  );
  const logFile = join(folder, `${name}.log`);
  let hostIndex = index;
  let birth = 0;
  /** Number of the last start that a signal ended. */
  let endedBirth = 0;
  let node: SpawnedNode | undefined;
  const getRunningNode = (): SpawnedNode | undefined =>
    node?.hasExited() === false ? node : undefined;
  const waitForEnd = async (running: SpawnedNode): Promise<boolean> => {
    const limit = new Promise<'late'>((resolve) => {
      setTimeout(() => {
        resolve('late');
      }, stopMilliseconds * STOP_WAIT_FACTOR).unref();
    });
    return (await Promise.race([running.exited, limit])) !== 'late';
  };
  const endProcess = async (signal: 'SIGTERM' | 'SIGKILL'): Promise<void> => {
    const running = getRunningNode();
    if (!running) return;
    const askedAt = now();
    endedBirth = birth;
    running.kill(signal);
    const hasExitedInTime = await waitForEnd(running);
    const endedAt = hasExitedInTime ? now() : Infinity;
    if (!hasExitedInTime) running.kill('SIGKILL');
    const code = await running.exited;
    callerLink.retarget(undefined);
    const isPlanned = signal === 'SIGTERM';
    record.ends.push({ node: name, birth, isPlanned, askedAt, endedAt, code });
  };
  /** Records the exit of a process that no signal of the run ended. */
  const recordDeath = async (started: SpawnedNode, startNumber: number): Promise<void> => {
    const code = await started.exited;
    if (endedBirth === startNumber) return;
    record.deaths.push({ node: name, birth: startNumber, at: now(), code });
  };
  return {
    name,
    callerLink,
    storeLink,
    getStartNumber: () => birth,
    isRunning: () => getRunningNode() !== undefined,
    start: async () => {
      if (getRunningNode()) return;
      birth += 1;
      const host = await computeLoopbackAddress(hostIndex);
      const common = { index, host, seeds, folder, program, logFile, settings: SETTINGS };
      node = spawnNode({ ...common, storeAddress: storeLink.address });
      void recordDeath(node, birth);
      callerLink.retarget(node.callerAddress);
      await node.waitUntilReady();
    },
    freeze: () => getRunningNode()?.kill('SIGSTOP'),
    resume: () => getRunningNode()?.kill('SIGCONT'),
    reload: () => getRunningNode()?.kill('SIGHUP'),
    kill: () => endProcess('SIGKILL'),
    stop: () => endProcess('SIGTERM'),
    changeAddress: () => {
      hostIndex += HOST_INDEX_STEP;
    },
    recordProcess: () => {
      const running = getRunningNode();
      const megabytes = running?.readMemoryMegabytes();
      if (!running || megabytes === undefined) return;
      const descriptors = running.countDescriptors();
      record.processes.push({ node: name, birth, at: now(), descriptors, megabytes });
    },
    recordInternalErrors: () => {
      const lines = readFileSync(logFile, 'utf8').split('\n');
      for (const line of lines)
        if (line.includes(INTERNAL_ERROR)) record.internalErrors.push({ node: name, line });
    },
    close: async () => {
      await endProcess('SIGKILL');
      await callerLink.close();
      await storeLink.close();
    },
  };
}

/**
 * Creates nodes without starting them.
 *
 * @param options - number of nodes, their program, and the record
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
