/**
 * An example site in one process: stand-ins and nodes on free loopback ports, with its
 * configuration applied through the operators' interface.
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

/** An example site that runs. */
export interface Example {
  readonly folder: string;
  readonly site: Site;
  readonly nodes: readonly RunningNode[];
  readonly model: string;
  readonly version: string;
  readonly service: string;
  readonly keys: Readonly<Record<string, string>>;
  readonly createCaller: (account: string) => Caller;
  readonly operate: (method: string, path: string, body?: unknown) => Promise<unknown>;
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
 * Calls an operators' interface.
 *
 * @param address - address of the listener
 * @param key - operators' key
 * @param method - HTTP method
 * @param path - path
 * @param body - value to send as JSON, if any
 * @returns the parsed answer; rejects when the status is not 200
 * @example
 * await callOperators(address, key, 'GET', '/v1/status');
 */
export function callOperators(
  address: string,
  key: string,
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
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        ...(body !== undefined && { body: JSON.stringify(body) }),
        timeoutMilliseconds: 10_000,
      },
      (result) => {
        if (result.kind === 'reply' && result.status === 200) resolve(JSON.parse(result.body));
        else reject(new Error(result.kind === 'reply' ? result.body : 'the node did not answer'));
      },
    );
  });
}

async function waitUntil(name: string, check: () => Promise<boolean>): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
  while (performance.now() < until) {
    if (await check()) return;
    await sleep(CHECK_MILLISECONDS);
  }
  throw new Error(`${name} was not reached in time`);
}

/**
 * Starts an example site.
 *
 * @param options - the site and the number of nodes
 * @returns the site, ready to serve callers
 * @example
 * const example = await startExample({ site: 'fit-desk' });
 */
export async function startExample(options: StartExampleOptions): Promise<Example> {
  const { site: siteName, nodes: nodeCount = 6, logLevel = 'silent' } = options;
  const report = options.onProgress ?? ((): void => undefined);
  const folder = `examples/${siteName}`;
  const site = await startSite(readSiteSettings(`${folder}/standins.json`), true);
  report(
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
  const operate = (method: string, path: string, body?: unknown): Promise<unknown> =>
    callOperators(nodes[0]?.operatorAddress ?? '', operatorKey, method, path, body);
  const labels = readJson(`${folder}/labels.json`) as Record<string, unknown>[];
  const selectors = readJson(`${folder}/selectors.json`) as ExampleSelector[];
  const operations = [
    ...labels.map((entry) => ({ kind: 'setLabels', ...entry })),
    ...selectors.map((selector) => ({ kind: 'putSelector', selector })),
  ];
  await operate('POST', '/v1/changes', {
    allowUnmatched: true,
    change: { id: randomUUID(), baseRevision: 0, operations },
  });
  report('configuration accepted; waiting for every node and for the engines to load');
  const model = selectors.find(({ serve }) => serve.kind === 'model')?.serve;
  await waitUntil('the declared shape of the fleet', async () => {
    const states = await Promise.all(
      nodes.map((node) => callOperators(node.operatorAddress, operatorKey, 'GET', '/v1/status')),
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
      const caller = createCaller({ account, key: keys[account] ?? '', seeds });
      callers.push(caller);
      return caller;
    },
    operate,
    close: async () => {
      for (const caller of callers) caller.close();
      await Promise.all(nodes.map((node) => node.kill()));
      await site.close();
    },
  };
}
