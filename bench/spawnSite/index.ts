/**
 * Starts an example site as separate processes: the stand-ins, and nodes that run the built bundle.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { callOperatorApi } from '../startExample/index.js';
import { sleep } from '../sleep/index.js';

/** Options of {@link spawnSite}. */
export interface SpawnSiteOptions {
  readonly site: string;
  readonly nodes: number;
  /** The command that runs one node, without its arguments. */
  readonly command: readonly string[];
}

/** Processor time and memory of one process. */
export interface ProcessUsage {
  readonly processorSeconds: number;
  readonly memoryMegabytes: number;
}

/** Site whose nodes and stand-ins run as separate processes. */
export interface SpawnedSite {
  readonly callerAddresses: readonly string[];
  readonly serviceAddress: string;
  /** Calls the operator API of a node. */
  readonly callOperatorApi: (
    node: number,
    method: string,
    path: string,
    body?: unknown,
  ) => Promise<unknown>;
  /** Returns the usage of every running node. */
  readonly readUsage: () => ProcessUsage[];
  readonly sendSignal: (node: number, signal: NodeJS.Signals) => void;
  /** Restarts a node; call it after the node has exited. */
  readonly restart: (node: number) => void;
  /** Resolves with the exit code of a node. */
  readonly waitForExit: (node: number) => Promise<number | null>;
  /** Waits until every node has the configuration and reports all engines as ready. */
  readonly waitUntilReady: () => Promise<void>;
  readonly close: () => Promise<void>;
}

interface ListenerFile {
  readonly callers: { readonly port: number };
  readonly operators: { readonly port: number };
}

const CLOCK_TICKS_PER_SECOND = 100;
const READY_TIMEOUT_MILLISECONDS = 60_000;
const CHECK_MILLISECONDS = 200;
const PAGES_PER_MEGABYTE = 256;

function readJson(file: string): unknown {
  return JSON.parse(readFileSync(file, 'utf8'));
}

function readUsage(child: ChildProcess): ProcessUsage {
  const stat = readFileSync(`/proc/${(child.pid ?? 0).toString()}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    processorSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    memoryMegabytes: Number(fields[21]) / PAGES_PER_MEGABYTE,
  };
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((done) => {
    child.once('exit', done);
  });
}

/**
 * Starts a site on the ports given in its example files and applies its configuration.
 *
 * @param options - site, number of nodes and the command that runs a node
 * @returns the site, ready to serve requests
 * @example
 * const site = await spawnSite({ site: 'fit-desk', nodes: 6, command: ['dist/marjoramcleat'] });
 */
export async function spawnSite(options: SpawnSiteOptions): Promise<SpawnedSite> {
  const folder = `examples/${options.site}`;
  const [program = '', ...prefix] = options.command;
  const standins = spawn(
    process.execPath,
    ['--import', 'tsx', 'scripts/standins.ts', '--settings', `${folder}/standins.json`],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  await new Promise((done, failed) => {
    standins.stdout.once('data', done);
    standins.once('exit', () => {
      failed(new Error('the stand-ins exited before they were ready; see their output above'));
    });
  });
  const files = Array.from(
    { length: options.nodes },
    (_, index) => `${folder}/node-${(index + 1).toString()}.json`,
  );
  const startNode = (file: string): ChildProcess =>
    spawn(program, [...prefix, 'serve', '--settings', file], {
      stdio: ['ignore', 'ignore', 'ignore'],
    });
  const children = files.map(startNode);
  const listeners = files.map((file) => readJson(file) as ListenerFile);
  const key = readFileSync(`${folder}/operators.key`, 'utf8').trim();
  const callNodeOperatorApi: SpawnedSite['callOperatorApi'] = (node, method, path, body) => {
    const port = listeners[node]?.operators.port ?? 0;
    return callOperatorApi(`127.0.0.1:${port.toString()}`, key, method, path, body);
  };
  const waitUntil = async (check: () => Promise<boolean>): Promise<void> => {
    const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (performance.now() < until) {
      if (await check().catch(() => false)) return;
      await sleep(CHECK_MILLISECONDS);
    }
    throw new Error(`the site did not become ready within ${READY_TIMEOUT_MILLISECONDS} ms`);
  };
  const isNodeReady = async (node: number): Promise<boolean> => {
    const status = (await callNodeOperatorApi(node, 'GET', '/v1/status')) as {
      revision: number;
      engines: { ready: number; model: string }[];
    };
    const ready = status.engines
      .filter(({ model }) => model !== '' && model !== '(no report)')
      .reduce((sum, group) => sum + group.ready, 0);
    return status.revision > 0 && ready >= 40;
  };
  const waitUntilReady = (): Promise<void> =>
    waitUntil(async () => {
      const states = await Promise.all(files.map((_, node) => isNodeReady(node)));
      return states.every(Boolean);
    });
  const labels = readJson(`${folder}/labels.json`) as Record<string, unknown>[];
  const selectors = readJson(`${folder}/selectors.json`) as unknown[];
  const operations = [
    ...labels.map((entry) => ({ kind: 'setLabels', ...entry })),
    ...selectors.map((selector) => ({ kind: 'putSelector', selector })),
  ];
  const change = { id: randomUUID(), baseRevision: 0, operations };
  await waitUntil(async () => {
    await callNodeOperatorApi(0, 'POST', '/v1/changes', { allowUnmatched: true, change });
    return true;
  });
  await waitUntilReady();
  const services = readJson(`${folder}/standins.json`) as { services: { firstPort: number }[] };
  return {
    callerAddresses: listeners.map(({ callers }) => `127.0.0.1:${callers.port.toString()}`),
    serviceAddress: `127.0.0.1:${(services.services[0]?.firstPort ?? 0).toString()}`,
    callOperatorApi: callNodeOperatorApi,
    readUsage: () => children.filter(({ exitCode }) => exitCode === null).map(readUsage),
    sendSignal: (node, signal) => {
      children[node]?.kill(signal);
    },
    restart: (node) => {
      children[node] = startNode(files[node] ?? '');
    },
    waitForExit: (node) => {
      const child = children[node];
      return child ? waitForExit(child) : Promise.resolve(null);
    },
    waitUntilReady,
    close: async () => {
      for (const child of children) child.kill('SIGKILL');
      standins.kill('SIGTERM');
      await Promise.all([...children, standins].map(waitForExit));
    },
  };
}
