/**
 * Request rates of client accounts, as nodes tell them to each other.
 */
import type { RateLimiter } from '../../../request/createRateLimiter/index.js';
import type { Fact } from '../../../types/peer/index.js';
import type { NodeContext } from '../createContext/index.js';

/** Options of {@link createDemandNews}. */
export interface CreateDemandNewsOptions {
  readonly context: NodeContext;
  readonly limiter: RateLimiter;
  readonly tell: (fact: Fact) => void;
}

/** News of demands. */
export interface DemandNews {
  /** Takes a peer's fact; false when it is of another kind. */
  readonly takeFact: (fact: Fact) => boolean;
  /** Tells this node's demands from now on. */
  readonly start: () => void;
}

const INTERVAL_MILLISECONDS = 1_000;
const KEY_PREFIX = 'demand/';

/**
 * Creates the news of demands.
 *
 * @param options - the context, the limiter, and the way to tell peers
 * @returns the news
 * @example
 * createDemandNews({ context, limiter, tell }).start();
 */
export function createDemandNews(options: CreateDemandNewsOptions): DemandNews {
  const { context, limiter, tell } = options;
  const start = (): void => {
    for (const { account, requestsPerSecond } of limiter.listDemands(context.now())) {
      tell({
        key: `${KEY_PREFIX}${account}/${context.node}`,
        version: context.now(),
        value: requestsPerSecond.toString(),
      });
    }
    context.schedule(INTERVAL_MILLISECONDS, start);
  };
  return {
    takeFact: (fact) => {
      if (!fact.key.startsWith(KEY_PREFIX)) return false;
      const [, account = '', node = ''] = fact.key.split('/');
      if (node === context.node) return true;
      const demand = { account, requestsPerSecond: Number(fact.value) };
      limiter.takePeerDemand(node, demand, context.now());
      return true;
    },
    start,
  };
}
