/**
 * Choice of the chain (pipeline of engines) that runs the layers of a request.
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

/** Predecessor of a segment that the same engine continues. */
const SAME_ENGINE = -1;
/** Predecessor of the first segment. */
const NO_ENGINE = -2;

interface ChainSearch {
  readonly pool: ChainPool;
  readonly promptTokens: number;
  readonly expectedTokens: number;
}

function computeLinkCost(search: ChainSearch, fromZone: number, toZone: number): number {
  const { pool } = search;
  const cell = fromZone * pool.zones.length + toZone;
  const latency = (pool.linkLatency[cell] ?? 0) * (1 + search.expectedTokens);
  return latency + (pool.linkPerPromptToken[cell] ?? 0) * search.promptTokens;
}

function fillSegment(search: ChainSearch, segment: number): void {
  const { pool } = search;
  const zoneCount = pool.zones.length;
  const width = (pool.boundaries[segment + 1] ?? 0) - (pool.boundaries[segment] ?? 0);
  const row = segment * pool.engines.length;
  const end = pool.segmentStart[segment + 1] ?? 0;
  for (let slot = pool.segmentStart[segment] ?? 0; slot < end; slot += 1) {
    const engine = pool.segmentEngines[slot] ?? 0;
    const zone = pool.zone[engine] ?? 0;
    const runsPreviousSegment = (pool.fromBoundary[engine] ?? 0) < segment;
    let best = runsPreviousSegment
      ? (pool.cost[row - pool.engines.length + engine] ?? Infinity)
      : Infinity;
    let previousEngine = SAME_ENGINE;
    for (let source = 0; source < zoneCount; source += 1) {
      const sourceCell = segment * zoneCount + source;
      const reached = pool.boundaryCost[sourceCell] ?? Infinity;
      if (reached === Infinity) continue;
      const entered =
        reached + computeLinkCost(search, source, zone) + (pool.entryCost[engine] ?? 0);
      if (entered >= best) continue;
      best = entered;
      previousEngine = pool.boundaryEngine[sourceCell] ?? NO_ENGINE;
    }
    const total = best + (pool.layerCost[engine] ?? Infinity) * width;
    pool.cost[row + engine] = total;
    pool.previousEngine[row + engine] = previousEngine;
    const target = (segment + 1) * zoneCount + zone;
    if (total >= (pool.boundaryCost[target] ?? Infinity)) continue;
    pool.boundaryCost[target] = total;
    pool.boundaryEngine[target] = engine;
  }
}

function findLastEngine(search: ChainSearch): { readonly engine: number; readonly cost: number } {
  const { pool } = search;
  const zoneCount = pool.zones.length;
  const last = (pool.boundaries.length - 1) * zoneCount;
  let engine = NO_ENGINE;
  let cost = Infinity;
  for (let zone = 0; zone < zoneCount; zone += 1) {
    const reached =
      (pool.boundaryCost[last + zone] ?? Infinity) + computeLinkCost(search, zone, pool.homeZone);
    if (reached >= cost) continue;
    cost = reached;
    engine = pool.boundaryEngine[last + zone] ?? NO_ENGINE;
  }
  return { engine, cost };
}

function traceStages(pool: ChainPool, lastEngine: number): Stage[] {
  const stages: Stage[] = [];
  let engine = lastEngine;
  let end = pool.boundaries.length - 1;
  for (let segment = end - 1; segment >= 0; segment -= 1) {
    const previousEngine = pool.previousEngine[segment * pool.engines.length + engine] ?? NO_ENGINE;
    if (previousEngine === SAME_ENGINE) continue;
    const stageEngine = pool.engines[engine];
    if (!stageEngine) return [];
    const from = pool.boundaries[segment] ?? 0;
    const to = pool.boundaries[end] ?? 0;
    stages.push({ engine: stageEngine.name, address: stageEngine.address, from, to });
    engine = previousEngine;
    end = segment;
  }
  return stages.reverse();
}

/**
 * Chooses the cheapest chain over the layer boundaries.
 *
 * Uses dynamic programming over (boundary, engine). Link costs depend only on availability zones, so
 * each segment needs only the best predecessor in each zone, and the run time is proportional to
 * segments × engines × zones. The result is optimal for the given costs.
 *
 * @param options - the pool with its costs, and the size of the request in tokens
 * @returns the chain, or undefined when no chain runs all layers
 * @example
 * chooseChain({ pool, promptTokens: 200, expectedTokens: 64 })?.stages;
 */
export function chooseChain(options: ChooseChainOptions): Chain | undefined {
  const { pool } = options;
  const zoneCount = pool.zones.length;
  pool.boundaryCost.fill(Infinity);
  pool.boundaryEngine.fill(NO_ENGINE);
  pool.boundaryCost[pool.homeZone] = 0;
  for (let segment = 0; segment < pool.boundaries.length - 1; segment += 1) {
    fillSegment(options, segment);
    if (segment === 0) pool.boundaryCost.fill(Infinity, 0, zoneCount);
  }
  const { engine, cost } = findLastEngine(options);
  if (engine < 0 || cost === Infinity) return undefined;
  return { stages: traceStages(pool, engine), cost };
}
