/**
 * Pools of engines, one for each selector and model variant in use.
 */
import { EMPTY_GAP_ESTIMATE, type GapEstimate } from '../../connection/estimateGap/index.js';
import type { Endpoint, Fleet } from '../../connection/createFleet/index.js';
import type { Selector, ServedTarget } from '../../types/configuration/index.js';
import { matchLabels } from '../../version/matchLabels/index.js';
import { buildChainPool, type ChainPool, type LinkCost } from '../buildChainPool/index.js';
import { hashText } from '../../process/hashRendezvous/index.js';
import { createPoolGate, type PoolGate } from '../createPoolGate/index.js';
import { createRetryBudget, type RetryBudget } from '../createRetryBudget/index.js';

/** A model variant that a selector serves. */
export type ServedModel = Extract<ServedTarget, { kind: 'model' }>;

/** Engines that serve one model variant to one selector, with their limits and estimates. */
export interface Pool {
  readonly key: string;
  /** Hash of the key, which identifies the pool in messages between nodes. */
  readonly hash: number;
  readonly selector: Selector;
  readonly served: ServedModel;
  readonly gate: PoolGate;
  readonly budget: RetryBudget;
  /** Shortest token time that slowdown is computed against, in milliseconds; faster chains use it too. */
  readonly minimumTokenMilliseconds: number;
  /** Estimate of the time between tokens, as a multiple of a chain's time without load. */
  gaps: GapEstimate;
  /** Estimate of the time to the first token, as a multiple of a chain's time without load. */
  firstTokens: GapEstimate;
  epoch: number;
  chain: ChainPool;
  endpoints: readonly Endpoint[];
}

/** Accepted slowdown of tokens under load, by selector goal. */
const SLOWDOWN_TOLERANCES = { recovery: 1.3, throughput: 3 } as const;

/** Time between tokens that is always acceptable, in milliseconds, by selector goal. */
const BETWEEN_TOKENS_MILLISECONDS = { recovery: 24, throughput: 80 } as const;

/** Options of {@link createPools}. */
export interface CreatePoolsOptions {
  readonly fleet: Fleet;
  readonly availabilityZone: string;
  readonly findLink: (fromZone: string, toZone: string) => LinkCost;
}

/** The pools of one node. */
export interface Pools {
  readonly find: (selector: Selector, served: ServedModel) => Pool;
  /**
   * Finds the variant to serve: the requested one, or another version of the same model that engines
   * host on every layer while the requested one is not ready on all layers.
   */
  readonly findServable: (selector: Selector, served: ServedModel) => Pool;
  readonly list: () => Pool[];
  /** Lists the concurrency limits of the pools in full use, by hash of the pool's key. */
  readonly listBusyLimits: () => { readonly pool: number; readonly limit: number }[];
  /** Moves the limits of busy pools towards those that a peer reported. */
  readonly applyPeerLimits: (limits: readonly { pool: number; limit: number }[]) => void;
}

/** Checks whether an engine hosts a model variant and is ready. */
function servesVariant(endpoint: Endpoint, served: ServedModel): boolean {
  const { report } = endpoint;
  if (endpoint.kind !== 'engine' || !report || report.loading) return false;
  if (report.model !== served.model || report.version !== served.version) return false;
  return served.adapter === '' || report.adapters.includes(served.adapter);
}

/** Checks whether every layer is hosted by an engine. */
function coversEveryLayer({ segmentStart }: ChainPool): boolean {
  for (let segment = 0; segment + 1 < segmentStart.length; segment += 1) {
    if (segmentStart[segment] === segmentStart[segment + 1]) return false;
  }
  return segmentStart.length > 1;
}

function buildChain(
  options: CreatePoolsOptions,
  served: ServedModel,
  endpoints: readonly Endpoint[],
): ChainPool {
  return buildChainPool({
    layers: served.layers,
    homeZone: options.availabilityZone,
    findLink: options.findLink,
    engines: endpoints.map(({ name, vm, report }) => ({
      name,
      address: vm.address,
      from: report?.from ?? 0,
      to: report?.to ?? 0,
      availabilityZone: vm.availabilityZone,
      layersPerSecond: report?.layersPerSecond ?? 1,
    })),
  });
}

/**
 * Creates the table of a node's engine pools.
 *
 * The tables of a pool are rebuilt when the fleet's epoch has changed; its limits and estimates are kept.
 *
 * @param options - the fleet, the node's availability zone, and the links between zones
 * @returns the pools
 * @example
 * createPools({ fleet, availabilityZone, findLink }).find(selector, served).chain;
 */
export function createPools(options: CreatePoolsOptions): Pools {
  const pools = new Map<string, Pool>();
  const listEndpoints = (selector: Selector, served: ServedModel): Endpoint[] =>
    options.fleet.list().filter((endpoint) => {
      const { report } = endpoint;
      if (!report || report.from >= report.to || report.to > served.layers) return false;
      return servesVariant(endpoint, served) && matchLabels(selector.endpoints, endpoint.labels);
    });
  const refresh = (pool: Pool): Pool => {
    const epoch = options.fleet.epoch();
    if (pool.epoch === epoch) return pool;
    pool.epoch = epoch;
    pool.endpoints = listEndpoints(pool.selector, pool.served);
    pool.chain = buildChain(options, pool.served, pool.endpoints);
    return pool;
  };
  const find: Pools['find'] = (selector, served) => {
    const { model, version, adapter, layers } = served;
    const scope = JSON.stringify(selector.endpoints);
    const key = `${selector.name}/${model}/${version}/${adapter}/${layers.toString()}/${scope}`;
    const existing = pools.get(key);
    if (existing) return refresh(existing);
    const pool: Pool = {
      key,
      hash: hashText(key),
      selector,
      served,
      gate: createPoolGate({ tolerance: SLOWDOWN_TOLERANCES[selector.weigh] }),
      budget: createRetryBudget(),
      minimumTokenMilliseconds:
        (selector.betweenTokensMilliseconds ?? BETWEEN_TOKENS_MILLISECONDS[selector.weigh]) /
        SLOWDOWN_TOLERANCES[selector.weigh],
      gaps: EMPTY_GAP_ESTIMATE,
      firstTokens: EMPTY_GAP_ESTIMATE,
      epoch: 0,
      chain: buildChain(options, served, []),
      endpoints: [],
    };
    pools.set(key, pool);
    return refresh(pool);
  };
  const listVersions = (selector: Selector, served: ServedModel): string[] => {
    const matching = options.fleet.list().filter(({ labels, report }) => {
      return report?.model === served.model && matchLabels(selector.endpoints, labels);
    });
    return [...new Set(matching.map(({ report }) => report?.version ?? ''))].sort();
  };
  return {
    find,
    findServable: (selector, served) => {
      const requested = find(selector, served);
      if (coversEveryLayer(requested.chain)) return requested;
      const others = listVersions(selector, served)
        .filter((version) => version !== served.version)
        .map((version) => find(selector, { ...served, version }));
      return others.find(({ chain }) => coversEveryLayer(chain)) ?? requested;
    },
    list: () => [...pools.values()],
    listBusyLimits: () =>
      [...pools.values()].flatMap(({ hash, gate }) => {
        const { limit, inFlight } = gate.describe();
        const isBusy = inFlight >= limit / 2;
        return isBusy ? [{ pool: hash, limit: Math.round(limit) }] : [];
      }),
    applyPeerLimits: (limits) => {
      for (const { pool: poolHash, limit } of limits) {
        const pool = [...pools.values()].find(({ hash }) => hash === poolHash);
        pool?.gate.applyPeerLimit(limit);
      }
    },
  };
}
