/**
 * Measures the time and allocated bytes of choosing a chain, by number of engines.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createFleet, type Fleet } from '../../src/connection/createFleet/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { chooseChain } from '../../src/request/chooseChain/index.js';
import { createPools } from '../../src/request/createPools/index.js';
import { setChainCosts } from '../../src/request/setChainCosts/index.js';
import { selectorSchema } from '../../src/types/configuration/index.js';
import type { Vm } from '../../src/types/platform/index.js';
import { createVirtualEngine } from '../../standins/createVirtualFleet/index.js';
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';

const LAYERS = 48;
const MEASURED_CHOICES = 5_000;
const WARM_UP_CHOICES = 2_000;
const CHOICES_PER_BATCH = 100;
const ZONES = ['a', 'b', 'c', 'd'];
const WIDTHS = [12, 16, 24];
const TARGET_MICROSECONDS = 100;

function createLargeFleet(engineCount: number, models: number): Fleet {
  const random = createRandom(3);
  const fleet = createFleet();
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const width = WIDTHS[index % WIDTHS.length] ?? 12;
    const slots = LAYERS / width;
    const from = (Math.floor(index / models) % slots) * width;
    return createVirtualEngine({
      name: `engine-${index.toString()}`,
      from,
      to: from + width,
      model: `model-${(index % models).toString()}`,
      layersPerSecond: 2_000 + 4_000 * random(),
    });
  });
  const vms: Vm[] = engines.map(({ name }, index) => ({
    name,
    address: `127.0.0.1:${index.toString()}`,
    availabilityZone: ZONES[index % ZONES.length] ?? 'a',
    state: 'live',
    tags: { kind: 'engine', name, role: 'm' },
  }));
  fleet.updateVms(vms);
  for (const { name, report } of engines) fleet.applyReport(name, report, 0);
  return fleet;
}

function measureSize(engineCount: number, models: number) {
  const fleet = createLargeFleet(engineCount, models);
  const pools = createPools({
    fleet,
    availabilityZone: 'a',
    findLink: (from, to) => ({
      latencyMilliseconds: from === to ? 0.1 : 10,
      perPromptTokenMilliseconds: from === to ? 0.001 : 0.1,
    }),
  });
  const selector = selectorSchema.parse({
    name: 's',
    endpoints: { role: 'm' },
    serve: { kind: 'model', model: 'model-0', version: '1', layers: LAYERS },
  });
  if (selector.serve.kind !== 'model') throw new Error('the selector does not serve a model');
  const pool = pools.find(selector, selector.serve);
  const random = createRandom(1);
  const cachedCharacters = new Map<string, number>();
  const excluded = new Set<string>();
  const request = { promptTokens: 200, expectedTokens: 64 };
  const choose = (): number => {
    setChainCosts({
      pool: pool.chain,
      endpoints: pool.endpoints,
      fleet,
      now: 500,
      nodes: 6,
      random,
      ...request,
      cachedCharacters,
      excluded,
    });
    return chooseChain({ pool: pool.chain, ...request })?.stages.length ?? 0;
  };
  for (let index = 0; index < WARM_UP_CHOICES; index += 1) choose();
  const times: number[] = [];
  for (let index = 0; index < MEASURED_CHOICES; index += 1) {
    const startedAt = performance.now();
    choose();
    times.push((performance.now() - startedAt) * 1_000);
  }
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const bytes: number[] = [];
  for (let repeat = 0; repeat < 20; repeat += 1) {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let index = 0; index < CHOICES_PER_BATCH; index += 1) choose();
    bytes.push((process.memoryUsage().heapUsed - before) / CHOICES_PER_BATCH);
  }
  const sorted = bytes.sort((left, right) => left - right);
  return {
    engines: engineCount,
    models,
    'pool engines': pool.endpoints.length,
    ...summarizeValues(times),
    bytes: Math.round(sorted[10] ?? 0),
  };
}

/** Measures the cost of choosing a chain at the current and at the target number of engines. */
export function measureRoutingCost(): Measurement {
  const sizes = [
    measureSize(40, 1),
    measureSize(160, 1),
    measureSize(650, 38),
    measureSize(650, 1),
  ];
  const target = sizes[2];
  const slope = sizes[3] && sizes[0] ? (sizes[3].p50 - sizes[0].p50) / (650 - 40) : 0;
  return {
    rows: sizes.map((size) => ({
      engines: size.engines,
      models: size.models,
      'pool engines': size['pool engines'],
      'p50 µs': size.p50,
      'p99 µs': size.p99,
      'bytes a choice': size.bytes,
    })),
    targets: [
      {
        name: 'choice at 650 engines over 38 models, 99 in 100',
        target: `under ${TARGET_MICROSECONDS.toString()} µs`,
        measured: `${(target?.p99 ?? 0).toString()} µs`,
        isMet: (target?.p99 ?? Infinity) < TARGET_MICROSECONDS,
      },
      {
        name: 'slope of a choice in the engines of its own pool',
        target: 'stated',
        measured: `${round(slope, 3).toString()} µs an engine`,
        isMet: true,
      },
      {
        name: 'bytes a choice, 650 engines over 38 models against 40 engines',
        target: 'no growth with the fleet',
        measured: `${(target?.bytes ?? 0).toString()} against ${(sizes[0]?.bytes ?? 0).toString()}`,
        isMet: (target?.bytes ?? Infinity) <= (sizes[0]?.bytes ?? 0) * 1.1,
      },
    ],
  };
}
