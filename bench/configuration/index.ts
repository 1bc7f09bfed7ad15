/**
 * Measures the cost of configuration changes and the time until all nodes apply them.
 */
import { randomUUID } from 'node:crypto';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createRandom } from '../../src/process/createRandom/index.js';
import type { Configuration } from '../../src/types/configuration/index.js';
import { applyOperations } from '../../src/version/applyOperations/index.js';
import { compileConfiguration } from '../../src/version/compileConfiguration/index.js';
import { digestText } from '../../src/version/digestText/index.js';
import { splitShards } from '../../src/version/splitShards/index.js';
import { createVirtualFleet } from '../../standins/createVirtualFleet/index.js';
import { createVirtualSystem } from '../../standins/createVirtualSystem/index.js';
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';

const BYTES_PER_MEGABYTE = 1_048_576;
const ACCOUNT_SIZES = [10, 2_400, 12_000, 24_000];
const CHANGES = 40;
const STORE_UP_TARGET_MILLISECONDS = 2_000;
const STORE_DOWN_TARGET_MILLISECONDS = 5_000;
const CHANGE_INTERVAL_MILLISECONDS = 700;

/** Cost of a configuration change at a number of accounts. */
export interface ConfigurationCost {
  readonly accounts: number;
  readonly shards: number;
  readonly largestShardKilobytes: number;
  readonly changeKilobytes: number;
  readonly applyMilliseconds: number;
  readonly memoryMegabytes: number;
}

function createAccounts(count: number): Configuration {
  const objects = Array.from({ length: count }, (_, index) => ({
    kind: 'account' as const,
    name: `account-${index.toString()}`,
    labels: {
      class: 'standard',
      site: 'fit-desk',
      weight: '1',
      'requests-per-second': '20',
      'key-sha256': digestText(index.toString()),
    },
    changedAt: 1,
  }));
  return { revision: 1, objects, selectors: [] };
}

/** Measures the cost of a configuration change at a number of accounts. */
export function measureAccounts(accounts: number): ConfigurationCost {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const base = createAccounts(accounts);
  const before = splitShards(base);
  const known = new Set(before.map(({ digest }) => digest));
  const startedAt = performance.now();
  const applied = applyOperations(base, {
    id: 'change-id-1',
    baseRevision: 1,
    operations: [
      { kind: 'setLabels', object: 'account', name: 'account-1', labels: { class: 'batch' } },
    ],
  });
  if (applied.isErr) throw new Error('the configuration change was refused');
  const after = splitShards(applied.value);
  compileConfiguration(applied.value);
  const applyMilliseconds = performance.now() - startedAt;
  const changed = after.filter(({ digest }) => !known.has(digest));
  const texts = after.map(({ text }) => text);
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const loadedShards = texts.map(
    (text) => JSON.parse(text) as Pick<Configuration, 'objects' | 'selectors'>,
  );
  const objects = loadedShards.flatMap((shard) => shard.objects);
  const compiled = compileConfiguration({ revision: 2, objects, selectors: [] });
  collectGarbage();
  const heap = process.memoryUsage().heapUsed - heapBefore;
  const textBytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
  if (compiled.accountsByKeyDigest.size !== accounts)
    throw new Error(
      `the compiled configuration has ${compiled.accountsByKeyDigest.size} of ${accounts} accounts`,
    );
  return {
    accounts,
    shards: after.length,
    largestShardKilobytes: round(Math.max(...texts.map((text) => text.length)) / 1_024),
    changeKilobytes: round(changed.reduce((sum, { text }) => sum + text.length, 0) / 1_024),
    applyMilliseconds: round(applyMilliseconds),
    memoryMegabytes: round((heap + textBytes) / BYTES_PER_MEGABYTE),
  };
}

/** Measures the time from the acceptance of a change until every node has applied it. */
function measurePropagation(nodes: number, isStoreDownAfter: boolean) {
  const random = createRandom(61);
  const appliedAt = new Map<number, number>();
  const acceptedAt = new Map<number, number>();
  let isStoreDown = false;
  const fleet = createVirtualFleet({ engines: [], services: 0 });
  const system = createVirtualSystem({
    nodes,
    seed: 61,
    createEndpoints: fleet.createEndpoints,
    decideOutcome: () => (isStoreDown ? 'refused' : 'done'),
    onEffect: (_node, effect, at) => {
      if (effect.kind === 'log' && effect.event === 'configuration-applied') {
        appliedAt.set(Number(effect.fields.revision), at);
      }
      if (effect.kind !== 'answer' || !effect.body.startsWith('{"revision"')) return;
      const { revision } = JSON.parse(effect.body) as { revision: number };
      acceptedAt.set(revision, at);
      if (isStoreDownAfter) isStoreDown = true;
    },
  });
  system.platform.setVms(fleet.vms);
  system.nodeNames.forEach(system.start);
  system.run(30_000);
  for (let index = 0; index < CHANGES; index += 1) {
    isStoreDown = false;
    if (isStoreDownAfter) system.run(25_000);
    const node = system.nodeNames[Math.floor(random() * nodes)] ?? '';
    const labels = { class: `class-${index.toString()}` };
    const operations = [
      { kind: 'setLabels', object: 'account', name: `a${index.toString()}`, labels },
    ];
    const change = { id: randomUUID(), baseRevision: 0, operations };
    system.dispatch(node, {
      kind: 'operatorRequest',
      request: `change-${index.toString()}`,
      method: 'POST',
      path: '/v1/changes',
      body: JSON.stringify({ change }),
    });
    system.run(isStoreDownAfter ? 10_000 : CHANGE_INTERVAL_MILLISECONDS);
  }
  system.run(10_000);
  const times = [...acceptedAt].map(([revision, at]) =>
    Math.max(0, (appliedAt.get(revision) ?? Infinity) - at),
  );
  return {
    nodes,
    store: isStoreDownAfter ? 'down at once' : 'up',
    changes: times.length,
    ...summarizeValues(times),
  };
}

/**
 * Measures the cost by number of accounts, and the propagation on 6 and 150 nodes with the store up
 * and down.
 */
export function measureConfiguration(): Measurement {
  const costs = ACCOUNT_SIZES.map(measureAccounts);
  const propagations = [
    measurePropagation(6, false),
    measurePropagation(6, true),
    measurePropagation(150, false),
    measurePropagation(150, true),
  ];
  const worst = (store: string): number =>
    Math.max(
      ...propagations.filter((propagation) => propagation.store === store).map(({ p99 }) => p99),
    );
  return {
    rows: [...costs.map((cost) => ({ ...cost }))],
    targets: [
      ...propagations.map(({ nodes, store, changes, p50, p99 }) => ({
        name: `acceptance to everywhere, ${nodes.toString()} nodes, store ${store}, ${changes.toString()} changes, p99`,
        target: `within ${(store === 'up' ? STORE_UP_TARGET_MILLISECONDS : STORE_DOWN_TARGET_MILLISECONDS).toString()} ms`,
        measured: `${p99.toString()} ms (p50 ${p50.toString()})`,
        isMet:
          p99 <= (store === 'up' ? STORE_UP_TARGET_MILLISECONDS : STORE_DOWN_TARGET_MILLISECONDS),
      })),
      {
        name: 'longest spread of all',
        target: 'within 17,000 ms',
        measured: `${Math.max(worst('up'), worst('down at once')).toString()} ms`,
        isMet: Math.max(worst('up'), worst('down at once')) <= 17_000,
      },
    ],
  };
}
