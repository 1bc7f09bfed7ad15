/**
 * Costs of engines for the choice of one chain.
 */
import { MILLISECONDS_PER_SECOND } from '../../constants/index.js';
import type { Endpoint, Fleet } from '../../connection/createFleet/index.js';
import type { Random } from '../../process/createRandom/index.js';
import type { ChainPool } from '../buildChainPool/index.js';

/** Options of {@link setChainCosts}. */
export interface SetChainCostsOptions {
  readonly pool: ChainPool;
  /** Endpoints in the order of the pool's engines. */
  readonly endpoints: readonly Endpoint[];
  readonly fleet: Pick<Fleet, 'estimate' | 'isUsable'>;
  readonly now: number;
  /** Number of nodes that choose engines. */
  readonly nodes: number;
  readonly random: Random;
  readonly promptTokens: number;
  readonly expectedTokens: number;
  /** Characters of the prompt that an engine is likely to have cached, by engine. */
  readonly cachedCharacters: ReadonlyMap<string, number>;
  readonly excluded: ReadonlySet<string>;
  /** Relative size of the random variation of costs, which makes nodes choose different engines. */
  readonly jitter?: number;
}

/** Number of prompt tokens that an engine processes in the time of one generated token. */
export const PROMPT_TOKENS_PER_STEP = 32;

/** Number of active sequences at which a step takes twice as long as without load. */
const SEQUENCES_DOUBLING_STEP = 2;

/** Characters of text in one token, on average. */
const CHARACTERS_PER_TOKEN = 4;

const DEFAULT_JITTER = 0.05;

/**
 * Sets the costs from which a chain is chosen.
 *
 * The cost of a layer is its time on the accelerator under the current load, for each token to
 * generate and for each prompt token that is not cached. Unusable and excluded engines cost infinity.
 *
 * @param options - the pool, the state of its engines, and the size of the request
 * @returns nothing; `entryCost` and `layerCost` of the pool are overwritten
 * @example
 * setChainCosts({ pool, endpoints, fleet, now, nodes: 6, random, promptTokens: 100, expectedTokens: 64, cachedCharacters: new Map(), excluded: new Set() });
 */
export function setChainCosts(options: SetChainCostsOptions): void {
  const { pool, endpoints, fleet, now, random, excluded } = options;
  const jitter = options.jitter ?? DEFAULT_JITTER;
  for (let index = 0; index < endpoints.length; index += 1) {
    const endpoint = endpoints[index];
    const engine = pool.engines[index];
    pool.entryCost[index] = 0;
    pool.layerCost[index] = Infinity;
    if (!endpoint || !engine || excluded.has(endpoint.name)) continue;
    if (!fleet.isUsable(endpoint, now)) continue;
    const load = fleet.estimate(endpoint, now, options.nodes);
    const cached = (options.cachedCharacters.get(endpoint.name) ?? 0) / CHARACTERS_PER_TOKEN;
    const uncached = Math.max(0, options.promptTokens - cached);
    const steps = options.expectedTokens + uncached / PROMPT_TOKENS_PER_STEP;
    const slowdown = 1 + load / SEQUENCES_DOUBLING_STEP;
    const variation = 1 + jitter * (2 * random() - 1);
    const layerMilliseconds = MILLISECONDS_PER_SECOND / engine.layersPerSecond;
    pool.layerCost[index] = layerMilliseconds * steps * slowdown * endpoint.penalty * variation;
  }
}
