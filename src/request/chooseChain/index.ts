/**
 * Choice of the chain of engines that runs a request's layers.
 */
import type { Stage } from '../../types/endpoint/index.js';
import type { ChainPool } from '../buildChainPool/index.js';

/** Options of {@link chooseChain}. */
export interface ChooseChainOptions {
  /** The pool, with `entryCost` and `layerCost` set for this choice. */
  readonly pool: ChainPool;
  readonly promptTokens: number;
  readonly expectedTokens: number;
}

/** A chosen chain and its cost in milliseconds. */
export interface Chain {
  readonly stages: readonly Stage[];
  readonly cost: number;
}

const CONTINUES = -1;
const FROM_CALLER = -2;

interface Work {
  readonly pool: ChainPool;
  readonly promptTokens: number;
  readonly expectedTokens: number;
}

function weighLink(work: Work, fromZone: number, toZone: number): number {
  const { pool } = work;
  const cell = fromZone * pool.zones.length + toZone;
  const latency = (pool.linkLatency[cell] ?? 0) * (1 + work.expectedTokens);
  return latency + (pool.linkPerPromptToken[cell] ?? 0) * work.promptTokens;
}

function fillSegment(work: Work, segment: number): void {
  const { pool } = work;
  const zoneCount = pool.zones.length;
  const width = (pool.boundaries[segment + 1] ?? 0) - (pool.boundaries[segment] ?? 0);
  const row = segment * pool.engines.length;
  const end = pool.segmentStart[segment + 1] ?? 0;
  for (let slot = pool.segmentStart[segment] ?? 0; slot < end; slot += 1) {
    const engine = pool.segmentEngines[slot] ?? 0;
    const zone = pool.zone[engine] ?? 0;
    const isHeldBefore = (pool.fromBoundary[engine] ?? 0) < segment;
    let best = isHeldBefore
      ? (pool.cost[row - pool.engines.length + engine] ?? Infinity)
      : Infinity;
    let parent = CONTINUES;
    for (let source = 0; source < zoneCount; source += 1) {
      const doneCell = segment * zoneCount + source;
      const reached = pool.done[doneCell] ?? Infinity;
      if (reached === Infinity) continue;
      const entered = reached + weighLink(work, source, zone) + (pool.entryCost[engine] ?? 0);
      if (entered >= best) continue;
      best = entered;
      parent = pool.doneEngine[doneCell] ?? FROM_CALLER;
    }
    const total = best + (pool.layerCost[engine] ?? Infinity) * width;
    pool.cost[row + engine] = total;
    pool.parent[row + engine] = parent;
    const target = (segment + 1) * zoneCount + zone;
    if (total >= (pool.done[target] ?? Infinity)) continue;
    pool.done[target] = total;
    pool.doneEngine[target] = engine;
  }
}

function findEnd(work: Work): { readonly engine: number; readonly cost: number } {
  const { pool } = work;
  const zoneCount = pool.zones.length;
  const last = (pool.boundaries.length - 1) * zoneCount;
  let engine = FROM_CALLER;
  let cost = Infinity;
  for (let zone = 0; zone < zoneCount; zone += 1) {
    const reached = (pool.done[last + zone] ?? Infinity) + weighLink(work, zone, pool.homeZone);
    if (reached >= cost) continue;
    cost = reached;
    engine = pool.doneEngine[last + zone] ?? FROM_CALLER;
  }
  return { engine, cost };
}

function traceStages(pool: ChainPool, lastEngine: number): Stage[] {
  const stages: Stage[] = [];
  let engine = lastEngine;
  let end = pool.boundaries.length - 1;
  for (let segment = end - 1; segment >= 0; segment -= 1) {
    const parent = pool.parent[segment * pool.engines.length + engine] ?? FROM_CALLER;
    if (parent === CONTINUES) continue;
    const held = pool.engines[engine];
    if (!held) return [];
    const from = pool.boundaries[segment] ?? 0;
    const to = pool.boundaries[end] ?? 0;
    stages.push({ engine: held.name, address: held.address, from, to });
    engine = parent;
    end = segment;
  }
  return stages.reverse();
}

/**
 * Chooses the cheapest chain over the layer boundaries.
 *
 * Dynamic programming over (boundary, engine). Links depend on availability zones alone, so a
 * segment needs only the best predecessor in each zone: the work is segments × engines × zones.
 * The choice is exact for the given costs.
 *
 * @param options - the pool with its costs, and the size of the request in tokens
 * @returns the chain, or undefined when no chain covers all layers
 * @example
 * chooseChain({ pool, promptTokens: 200, expectedTokens: 64 })?.stages;
 */
export function chooseChain(options: ChooseChainOptions): Chain | undefined {
  const { pool } = options;
  const zoneCount = pool.zones.length;
  pool.done.fill(Infinity);
  pool.doneEngine.fill(FROM_CALLER);
  pool.done[pool.homeZone] = 0;
  for (let segment = 0; segment < pool.boundaries.length - 1; segment += 1) {
    fillSegment(options, segment);
    if (segment === 0) pool.done.fill(Infinity, 0, zoneCount);
  }
  const { engine, cost } = findEnd(options);
  if (engine < 0 || cost === Infinity) return undefined;
  return { stages: traceStages(pool, engine), cost };
}
