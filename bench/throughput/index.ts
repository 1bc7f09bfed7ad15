/**
 * Measures the share of the layer graph's throughput bound that each chain selection policy reaches
 * at saturation.
 */
import { createFleet, type Endpoint, type Fleet } from '../../src/connection/createFleet/index.js';
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import { chooseChain } from '../../src/request/chooseChain/index.js';
import { createPools, type Pool, type ServedModel } from '../../src/request/createPools/index.js';
import { createPrefixIndex, type PrefixIndex } from '../../src/request/createPrefixIndex/index.js';
import { setChainCosts } from '../../src/request/setChainCosts/index.js';
import { selectorSchema } from '../../src/types/configuration/index.js';
import type { Stage } from '../../src/types/endpoint/index.js';
import { createEventQueue } from '../../standins/createEventQueue/index.js';
import {
  createVirtualEngine,
  type VirtualEngine,
} from '../../standins/createVirtualFleet/index.js';
import { computeThroughputBound } from '../computeThroughputBound/index.js';
import { round, type Measurement } from '../types.js';

/** Chain selection policy. */
export type Policy = 'ours' | 'oursWithoutAffinity' | 'random' | 'roundRobin' | 'leastInFlight';

/** Options of {@link saturate}. */
export interface SaturateOptions {
  readonly engines: readonly VirtualEngine[];
  readonly policy: Policy;
  readonly nodes: number;
  readonly reportLagMilliseconds: number;
  /** Number of sequences in flight over all nodes. */
  readonly sequences: number;
  readonly seed: number;
  /** Prompts to draw from; an empty prompt without a shared prefix by default. */
  readonly prompts?: readonly string[];
}

/** Result of a saturated run. */
export interface Saturation {
  /** Tokens per second divided by the bound. */
  readonly share: number;
  /** Share of prefills whose prompt prefix was cached. */
  readonly hits: number;
}

interface ChainChooser {
  readonly fleet: Fleet;
  readonly pool: Pool;
  readonly prefixes: PrefixIndex;
  readonly random: Random;
  /** Index of the last round-robin choice at each layer. */
  readonly lastTurns: Map<number, number>;
}

const LAYERS = 48;
const TOKENS = 32;
const MEASURE_MILLISECONDS = 20_000;
const WARM_UP_MILLISECONDS = 5_000;
const HOP_MILLISECONDS = 0.2;
const PROMPT_TOKENS_PER_STEP = 32;
const CACHED_PREFIXES = 24;
const SHARED_PREFIX_CHARACTERS = 1_024;

/** Creates engines of equal speed with aligned layer ranges. */
export function createHomogeneousFleet(): VirtualEngine[] {
  return Array.from({ length: 40 }, (_, index) => {
    const from = (index % 4) * 12;
    return createVirtualEngine({ name: `e${index.toString()}`, from, to: from + 12 });
  });
}

/**
 * Creates engines of three speeds with overlapping layer ranges of different widths; one in ten
 * hosts all layers.
 */
export function createMixedFleet(): VirtualEngine[] {
  const widths = [24, 16, 12];
  const speeds = [6_000, 4_000, 2_500];
  return Array.from({ length: 40 }, (_, index) => {
    const kind = index % 3;
    const width = index % 10 === 0 ? LAYERS : (widths[kind] ?? 12);
    const slots = LAYERS / width;
    const from = (Math.floor(index / 3) % slots) * width;
    const layersPerSecond = speeds[kind] ?? 4_000;
    return createVirtualEngine({
      name: `e${index.toString()}`,
      from,
      to: from + width,
      layersPerSecond,
    });
  });
}

const selector = selectorSchema.parse({
  name: 's',
  endpoints: { role: 'm' },
  serve: { kind: 'model', model: 'm', version: '1', layers: LAYERS },
});

function createChooser(engines: readonly VirtualEngine[], seed: number): ChainChooser {
  const fleet = createFleet();
  fleet.updateVms(
    engines.map(({ name }) => ({
      name,
      address: name,
      availabilityZone: 'a',
      state: 'live' as const,
      tags: { kind: 'engine', name, role: 'm' },
    })),
  );
  for (const { name, report } of engines) fleet.applyReport(name, report, 0);
  const link = { latencyMilliseconds: HOP_MILLISECONDS, perPromptTokenMilliseconds: 0 };
  const pools = createPools({ fleet, availabilityZone: 'a', findLink: () => link });
  const pool = pools.find(selector, selector.serve as ServedModel);
  return {
    fleet,
    pool,
    prefixes: createPrefixIndex(4_096),
    random: createRandom(seed),
    lastTurns: new Map(),
  };
}

function chooseByCost(
  chooser: ChainChooser,
  options: SaturateOptions,
  prompt: string,
  now: number,
): readonly Stage[] {
  const { fleet, pool, prefixes, random } = chooser;
  const ignoresCache = options.policy === 'oursWithoutAffinity';
  const request = { promptTokens: prompt.length / 4, expectedTokens: TOKENS };
  setChainCosts({
    pool: pool.chain,
    endpoints: pool.endpoints,
    fleet,
    now,
    nodes: options.nodes,
    random,
    ...request,
    cachedCharacters: ignoresCache ? new Map() : prefixes.findCachedCharacters('m', prompt),
    excluded: new Set(),
  });
  return chooseChain({ pool: pool.chain, ...request })?.stages ?? [];
}

/**
 * Builds a chain: picks an engine that hosts the next layer, uses it to the end of its range, and
 * repeats.
 */
function walkLayers(
  chooser: ChainChooser,
  pick: (hosts: readonly Endpoint[], layer: number) => Endpoint | undefined,
): readonly Stage[] {
  const stages: Stage[] = [];
  let layer = 0;
  while (layer < LAYERS) {
    const firstLayer = layer;
    const hosts = chooser.pool.endpoints.filter(
      ({ report }) => report !== undefined && report.from <= firstLayer && firstLayer < report.to,
    );
    const chosen = pick(hosts, layer);
    if (!chosen?.report) return [];
    stages.push({ engine: chosen.name, address: chosen.name, from: layer, to: chosen.report.to });
    layer = chosen.report.to;
  }
  return stages;
}

const NAIVE_POLICIES: Record<string, (chooser: ChainChooser) => readonly Stage[]> = {
  random: (chooser) =>
    walkLayers(chooser, (hosts) => hosts[Math.floor(chooser.random() * hosts.length)]),
  roundRobin: (chooser) =>
    walkLayers(chooser, (hosts, layer) => {
      const turn = (chooser.lastTurns.get(layer) ?? -1) + 1;
      chooser.lastTurns.set(layer, turn);
      return hosts[turn % hosts.length];
    }),
  leastInFlight: (chooser) =>
    walkLayers(
      chooser,
      (hosts) => [...hosts].sort((left, right) => left.localSequences - right.localSequences)[0],
    ),
};

/**
 * Keeps a number of sequences in flight over a fleet and measures the tokens per second.
 *
 * @param options - fleet, policy, number of nodes and delay of the load reports
 * @returns the share of the bound that was reached, and the share of prefix cache hits
 * @example
 * saturate({ engines: createMixedFleet(), policy: 'ours', nodes: 6, reportLagMilliseconds: 1000, sequences: 400, seed: 1 });
 */
export function saturate(options: SaturateOptions): Saturation {
  const { engines, nodes, reportLagMilliseconds, seed, policy } = options;
  const queue = createEventQueue(0);
  const random = createRandom(seed);
  const choosers = Array.from({ length: nodes }, (_, index) =>
    createChooser(engines, seed + index),
  );
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const caches = new Map(engines.map(({ name }) => [name, new Set<string>()]));
  let tokens = 0;
  let prefills = 0;
  let hits = 0;
  const isMeasured = (): boolean => queue.now() >= WARM_UP_MILLISECONDS;

  const broadcastReports = (): void => {
    const actives = engines.map(({ name, active }) => ({ name, active }));
    queue.schedule(reportLagMilliseconds, () => {
      for (const { fleet } of choosers) {
        for (const { name, active } of actives) fleet.applyLoad(name, active, queue.now());
      }
    });
    queue.schedule(1_000, broadcastReports);
  };
  const lookUpPrefix = (engine: string, prompt: string): boolean => {
    const cache = caches.get(engine);
    if (!cache) return false;
    const key = prompt.slice(0, SHARED_PREFIX_CHARACTERS);
    const isHit = cache.delete(key);
    cache.add(key);
    const [oldest] = cache;
    if (cache.size > CACHED_PREFIXES && oldest !== undefined) cache.delete(oldest);
    if (isMeasured()) prefills += 1;
    if (isMeasured() && isHit) hits += 1;
    return isHit;
  };
  const choose = (chooser: ChainChooser, prompt: string): readonly Stage[] =>
    NAIVE_POLICIES[policy]?.(chooser) ?? chooseByCost(chooser, options, prompt, queue.now());
  const startSequence = (): void => {
    const chooser = choosers[Math.floor(random() * nodes)];
    if (!chooser) return;
    const { prompts = [''] } = options;
    const prompt = prompts[Math.floor(random() * prompts.length)] ?? '';
    const stages = choose(chooser, prompt);
    for (const stage of stages) {
      chooser.fleet.addLocalSequences(stage.engine, 1);
      const virtualEngine = byName.get(stage.engine);
      if (virtualEngine) virtualEngine.active += 1;
    }
    chooser.prefixes.record(
      'm',
      prompt,
      stages.map(({ engine }) => engine),
    );
    let left = TOKENS;
    const finish = (): void => {
      for (const stage of stages) {
        chooser.fleet.addLocalSequences(stage.engine, -1);
        const virtualEngine = byName.get(stage.engine);
        if (!virtualEngine) continue;
        virtualEngine.active -= 1;
        chooser.fleet.applyLoad(stage.engine, virtualEngine.active, queue.now());
      }
      startSequence();
    };
    const step = (position: number): void => {
      const stage = stages[position];
      if (!stage) {
        if (isMeasured()) tokens += 1;
        left -= 1;
        if (left === 0) finish();
        else step(0);
        return;
      }
      const engine = byName.get(stage.engine);
      if (!engine) return;
      const isFirst = left === TOKENS && prompt !== '';
      const isCached = isFirst && lookUpPrefix(stage.engine, prompt);
      const steps = isFirst && !isCached ? 1 + prompt.length / 4 / PROMPT_TOKENS_PER_STEP : 1;
      const time = ((stage.to - stage.from) * 1_000 * steps) / engine.report.layersPerSecond;
      engine.busyUntil = Math.max(queue.now(), engine.busyUntil) + time;
      queue.schedule(engine.busyUntil - queue.now() + HOP_MILLISECONDS, () => {
        step(position + 1);
      });
    };
    step(0);
  };
  broadcastReports();
  for (let index = 0; index < options.sequences; index += 1) {
    queue.schedule(random() * 500, startSequence);
  }
  queue.runUntil(WARM_UP_MILLISECONDS + MEASURE_MILLISECONDS);
  const bound = computeThroughputBound(
    engines.map(({ report }) => report),
    LAYERS,
  );
  const rate = (tokens * 1_000) / MEASURE_MILLISECONDS;
  return { share: rate / bound, hits: prefills === 0 ? 0 : hits / prefills };
}

const POLICIES: readonly Policy[] = ['ours', 'random', 'roundRobin', 'leastInFlight'];
const FLEETS = { homogeneous: createHomogeneousFleet, mixed: createMixedFleet };
const LAGS = [0, 1_000, 5_000];
/**
 * Sequences in flight over 40 engines: 10 per engine, and 40 per engine, which keeps every engine
 * busy.
 */
const DEPTHS = [400, 1_600];
const PREFIX_SEQUENCES = 400;
const TARGET_SHARE = 0.95;

/**
 * Measures every policy on both fleets and with delayed load reports, with six nodes that choose
 * independently.
 */
export function measureThroughput(): Measurement {
  const rows = Object.entries(FLEETS).flatMap(([fleet, create]) =>
    DEPTHS.flatMap((sequences) =>
      LAGS.map((lag) => {
        const shares = POLICIES.map((policy) => {
          const { share } = saturate({
            engines: create(),
            policy,
            nodes: 6,
            reportLagMilliseconds: lag,
            sequences,
            seed: 7,
          });
          return [policy, round(share * 100)] as const;
        });
        const run = { fleet, sequences, 'reports late s': lag / 1_000 };
        return { ...run, ...Object.fromEntries(shares) };
      }),
    ),
  );
  const findMinimumShare = (depth: number): number =>
    Math.min(
      ...rows
        .filter(({ sequences }) => sequences === depth)
        .map((row) => Number((row as Record<string, unknown>).ours)),
    );
  return {
    rows,
    targets: DEPTHS.map((depth) => ({
      name: `share of the bound, ${(depth / 40).toString()} sequences an engine, least over fleets and lags`,
      target: `${(TARGET_SHARE * 100).toString()}%`,
      measured: `${findMinimumShare(depth).toString()}%`,
      isMet: findMinimumShare(depth) >= TARGET_SHARE * 100,
    })),
  };
}

const PROMPT_KINDS = 60;
const MAXIMUM_LOSS = 0.05;

/**
 * Measures the share of prefix cache hits with and without affinity, and the throughput that
 * affinity costs.
 */
export function measurePrefix(): Measurement {
  const prompts = Array.from({ length: PROMPT_KINDS }, (_, index) =>
    `${index.toString().padStart(4, '0')} `.repeat(SHARED_PREFIX_CHARACTERS / 5 + 1),
  );
  const results = (['ours', 'oursWithoutAffinity'] as const).map((policy) => {
    const base = {
      engines: createMixedFleet(),
      policy,
      nodes: 6,
      reportLagMilliseconds: 1_000,
      seed: 7,
    };
    const result = saturate({ ...base, sequences: PREFIX_SEQUENCES, prompts });
    return { policy, ...result };
  });
  const [ours, withoutAffinity] = results;
  const gain = (ours?.share ?? 0) - (withoutAffinity?.share ?? 0);
  return {
    rows: results.map(({ policy, share, hits }) => ({
      policy,
      'hit share %': round(hits * 100),
      'share of bound %': round(share * 100),
    })),
    targets: [
      {
        name: 'prefix hits with affinity against without',
        target: 'more',
        measured: `${round((ours?.hits ?? 0) * 100).toString()}% against ${round((withoutAffinity?.hits ?? 0) * 100).toString()}%`,
        isMet: (ours?.hits ?? 0) > (withoutAffinity?.hits ?? 0),
      },
      {
        name: 'throughput lost to imbalance by affinity, of the bound',
        target: `at most ${(MAXIMUM_LOSS * 100).toString()}%`,
        measured: `${round(-gain * 100).toString()}%`,
        isMet: -gain <= MAXIMUM_LOSS,
      },
    ],
  };
}
