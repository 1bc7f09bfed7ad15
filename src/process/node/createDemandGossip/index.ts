/**
 * Exchange of the client accounts' request rates between nodes.
 */
import type { RateLimiter } from '../../../request/createRateLimiter/index.js';
import type { Fact } from '../../../types/peer/index.js';
import type { NodeContext } from '../createContext/index.js';

/** Options of {@link createDemandGossip}. */
export interface CreateDemandGossipOptions {
  readonly context: NodeContext;
  readonly limiter: RateLimiter;
  readonly publishFact: (fact: Fact) => void;
}

/** Gossip of request rates. */
export interface DemandGossip {
  /** Applies a peer's request rate; returns false when the fact is not a request rate. */
  readonly receiveFact: (fact: Fact) => boolean;
  /** Starts to publish the request rates at this node, every second. */
  readonly start: () => void;
}

const INTERVAL_MILLISECONDS = 1_000;
const KEY_PREFIX = 'demand/';

/**
 * Creates the gossip of request rates.
 *
 * @param options - the context, the rate limiter, and a function that publishes a fact to peers
 * @returns the gossip of request rates
 * @example
 * createDemandGossip({ context, limiter, publishFact }).start();
 */
export function createDemandGossip(options: CreateDemandGossipOptions): DemandGossip {
  const { context, limiter, publishFact } = options;
  const start = (): void => {
    for (const { account, requestsPerSecond } of limiter.listDemands(context.now())) {
      publishFact({
        key: `${KEY_PREFIX}${account}/${context.node}`,
        version: context.now(),
        value: requestsPerSecond.toString(),
      });
    }
    context.schedule(INTERVAL_MILLISECONDS, start);
  };
  return {
    receiveFact: (fact) => {
      if (!fact.key.startsWith(KEY_PREFIX)) return false;
      const [, account = '', node = ''] = fact.key.split('/');
      if (node === context.node) return true;
      const demand = { account, requestsPerSecond: Number(fact.value) };
      limiter.recordPeerDemand(node, demand, context.now());
      return true;
    },
    start,
  };
}
