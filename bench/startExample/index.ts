/**
 * Runs an example site in one process: stand-ins and nodes on free loopback ports, with the
 * configuration of the example applied through the operator API.
 */
import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { callHttp } from '../../src/process/runtime/callHttp/index.js';
import { startNode, type RunningNode } from '../../src/process/runtime/startNode/index.js';
import { readSettings } from '../../src/process/settings/readSettings/index.js';
import { readSiteSettings, startSite, type Site } from '../../standins/startSite/index.js';
import { createCaller, type Caller } from '../createCaller/index.js';
import { sleep } from '../sleep/index.js';

/** Options of {@link startExample}. */
export interface StartExampleOptions {
  /** Name of a folder under `examples`. */
  readonly site: string;
  readonly nodes?: number;
  readonly logLevel?: 'warn' | 'silent';
  readonly onProgress?: (text: string) => void;
}

/** Running example site. */
export interface RunningExample {
  readonly folder: string;
  readonly site: Site;
  readonly nodes: readonly RunningNode[];
  readonly model: string;
  readonly version: string;
  readonly service: string;
  readonly keys: Readonly<Record<string, string>>;
  /** Creates a caller for a client account; it is closed together with the site. */
  readonly createCaller: (account: string) => Caller;
  /** Calls the operator API of the first node. */
  readonly callOperatorApi: (method: string, path: string, body?: unknown) => Promise<unknown>;
  readonly close: () => Promise<void>;
}

interface ExampleSelector {
  readonly serve: {
    readonly kind: string;
    readonly model?: string;
    readonly version?: string;
    readonly service?: string;
  };
}

const READY_TIMEOUT_MILLISECONDS = 30_000;
const CHECK_MILLISECONDS = 100;

function readJson(file: string): unknown {
  return JSON.parse(readFileSync(file, 'utf8'));
}

/**
 * Calls the operator API of a node.
 *
 * @param address - address of the operator listener
 * @param apiKey - operators' key
 * @param method - HTTP method
 * @param path - request path
 * @param body - value to send as JSON, if any
 * @returns the parsed response; rejects when the status is not 200
 * @example
 * await callOperatorApi(address, key, 'GET', '/v1/status');
 */
export function callOperatorApi(
  address: string,
  operatorKey: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<unknown> {
  return new Promise((resolve, reject) => {
    callHttp(
      {
        address,
        method,
        path,
        headers: { authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json' },
        ...(body !== undefined && { body: JSON.stringify(body) }),
        timeoutMilliseconds: 10_000,
      },
      (result) => {
        if (result.kind === 'reply' && result.status === 200) resolve(JSON.parse(result.body));
        else
          reject(
            new Error(
              result.kind === 'reply' ? result.body : `the node at ${address} did not answer`,
            ),
          );
      },
    );
  });
}

async function waitUntil(condition: string, check: () => Promise<boolean>): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
  while (performance.now() < until) {
    if (await check()) return;
    await sleep(CHECK_MILLISECONDS);
  }
  throw new Error(`timed out after ${READY_TIMEOUT_MILLISECONDS} ms waiting until ${condition}`);
}

/**
 * Starts an example site.
 *
 * @param options - name of the site, number of nodes, log level and progress callback
 * @returns the site, ready to serve callers
 * @example
 * const example = await startExample({ site: 'fit-desk' });
 */
export async function startExample(options: StartExampleOptions): Promise<RunningExample> {
  const { site: siteName, nodes: nodeCount = 6, logLevel = 'silent' } = options;
  const reportProgress = options.onProgress ?? ((): void => undefined);
  const folder = `examples/${siteName}`;
  const site = await startSite(readSiteSettings(`${folder}/standins.json`), true);
  reportProgress(
    `stand-ins: ${site.engines.size.toString()} engines, ${site.services.length.toString()} service endpoints`,
  );
  const nodes: RunningNode[] = [];
  for (let number = 1; number <= nodeCount; number += 1) {
    const loaded = readSettings(`${folder}/node-${number.toString()}.json`);
    if (loaded.isErr) throw new Error(JSON.stringify(loaded.error));
    const { settings, secrets } = loaded.value;
    const node = await startNode({
      secrets,
      seed: number,
      settings: {
        ...settings,
        logLevel,
        callers: { ...settings.callers, port: 0 },
        operators: { ...settings.operators, port: 0 },
        peers: { ...settings.peers, port: 0 },
        platform: { address: site.platform.address },
      },
    });
    nodes.push(node);
  }
  const operatorKey = readFileSync(`${folder}/operators.key`, 'utf8').trim();
  const callFirstNode = (method: string, path: string, body?: unknown): Promise<unknown> =>
    callOperatorApi(nodes[0]?.operatorAddress ?? '', operatorKey, method, path, body);
  const labels = readJson(`${folder}/labels.json`) as Record<string, unknown>[];
  const selectors = readJson(`${folder}/selectors.json`) as ExampleSelector[];
  const operations = [
    ...labels.map((entry) => ({ kind: 'setLabels', ...entry })),
    ...selectors.map((selector) => ({ kind: 'putSelector', selector })),
  ];
  await callFirstNode('POST', '/v1/changes', {
    allowUnmatched: true,
    change: { id: randomUUID(), baseRevision: 0, operations },
  });
  reportProgress('configuration accepted; waiting for every node and for the engines to load');
  const model = selectors.find(({ serve }) => serve.kind === 'model')?.serve;
  await waitUntil('every node reports all engines as ready', async () => {
    const states = await Promise.all(
      nodes.map((node) => callOperatorApi(node.operatorAddress, operatorKey, 'GET', '/v1/status')),
    );
    return (states as { revision: number; engines: { ready: number; model: string }[] }[]).every(
      ({ revision, engines }) => {
        const ready = engines
          .filter((group) => group.model === model?.model)
          .reduce((sum, group) => sum + group.ready, 0);
        return revision > 0 && ready === site.engines.size;
      },
    );
  });
  const keys = readJson(`${folder}/keys.json`) as Record<string, string>;
  const callers: Caller[] = [];
  return {
    folder,
    site,
    nodes,
    model: model?.model ?? '',
    version: model?.version ?? '',
    service: selectors.find(({ serve }) => serve.kind === 'service')?.serve.service ?? '',
    keys,
    createCaller: (account) => {
      const seeds = nodes.map((node) => node.callerAddress);
      const caller = createCaller({ account, apiKey: keys[account] ?? '', seeds });
      callers.push(caller);
      return caller;
    },
    callOperatorApi: callFirstNode,
    close: async () => {
      for (const caller of callers) caller.close();
      await Promise.all(nodes.map((node) => node.kill()));
      await site.close();
    },
  };
}
