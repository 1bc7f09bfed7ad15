/**
 * Rate limits of client accounts.
 */
import { computeLimitShare } from '../computeLimitShare/index.js';

/** Options of {@link RateLimiter.admit}. */
export interface AdmitOptions {
  readonly account: string;
  /** Limit over all nodes, in requests per second. */
  readonly limit: number;
  readonly homeNodes: number;
  readonly now: number;
}

/** Demand of an account on one node, as sent by gossip. */
export interface Demand {
  readonly account: string;
  readonly requestsPerSecond: number;
}

/** Rate limiter of one node. */
export interface RateLimiter {
  /** Returns 0 when the request is admitted, otherwise the time to wait in milliseconds. */
  readonly admit: (options: AdmitOptions) => number;
  readonly recordPeerDemand: (node: string, demand: Demand, now: number) => void;
  /** Lists the local demand of limited accounts. */
  readonly listDemands: (now: number) => Demand[];
}

interface Bucket {
  tokens: number;
  filledAt: number;
  demand: number;
  demandAt: number;
  arrivals: number;
  readonly peers: Map<string, { readonly rate: number; readonly at: number }>;
}

const DEMAND_WINDOW_MILLISECONDS = 1_000;
const DEMAND_WEIGHT = 0.5;
const PEER_DEMAND_LIFETIME_MILLISECONDS = 6_000;
const BURST_SECONDS = 0.5;

function updateDemand(bucket: Bucket, now: number): void {
  const elapsed = now - bucket.demandAt;
  if (elapsed < DEMAND_WINDOW_MILLISECONDS) return;
  const rate = (bucket.arrivals * 1_000) / elapsed;
  bucket.demand =
    bucket.demand === 0 ? rate : bucket.demand + DEMAND_WEIGHT * (rate - bucket.demand);
  if (bucket.demand < 0.01) bucket.demand = 0;
  bucket.arrivals = 0;
  bucket.demandAt = now;
}

function computeRate(bucket: Bucket, options: AdmitOptions): number {
  const peerDemands = [...bucket.peers.values()]
    .filter(({ at }) => options.now - at < PEER_DEMAND_LIFETIME_MILLISECONDS)
    .map(({ rate }) => rate);
  return computeLimitShare({
    limit: options.limit,
    localDemand: bucket.demand,
    peerDemands,
    initialShare: 1 / Math.max(1, options.homeNodes),
  });
}

/**
 * Creates the rate limiter of one node.
 *
 * Each account has a token bucket that is filled at this node's share of the limit. The share follows
 * the demand on every node that the account uses; nodes exchange their demands by gossip.
 *
 * @returns the limiter
 * @example
 * const limiter = createRateLimiter();
 * limiter.admit({ account: 'kiosk', limit: 10, homeNodes: 3, now: 0 }); // 0
 */
export function createRateLimiter(): RateLimiter {
  const buckets = new Map<string, Bucket>();
  const find = (account: string, now: number): Bucket => {
    const existing = buckets.get(account);
    if (existing) return existing;
    const created: Bucket = {
      tokens: 1,
      filledAt: now,
      demand: 0,
      demandAt: now,
      arrivals: 0,
      peers: new Map(),
    };
    buckets.set(account, created);
    return created;
  };

  return {
    admit: (options) => {
      if (options.limit === Infinity) return 0;
      const { account, now } = options;
      const bucket = find(account, now);
      updateDemand(bucket, now);
      bucket.arrivals += 1;
      const rate = computeRate(bucket, options);
      const filled = bucket.tokens + (rate * (now - bucket.filledAt)) / 1_000;
      bucket.tokens = Math.min(filled, Math.max(1, rate * BURST_SECONDS));
      bucket.filledAt = now;
      if (bucket.tokens < 1) return ((1 - bucket.tokens) * 1_000) / rate;
      bucket.tokens -= 1;
      return 0;
    },
    recordPeerDemand: (node, demand, now) => {
      const { peers } = find(demand.account, now);
      if (demand.requestsPerSecond === 0) peers.delete(node);
      else peers.set(node, { rate: demand.requestsPerSecond, at: now });
    },
    listDemands: (now) => {
      const demands: Demand[] = [];
      for (const [account, bucket] of buckets) {
        updateDemand(bucket, now);
        const isIdle = bucket.demand === 0 && bucket.arrivals === 0;
        if (isIdle && bucket.peers.size === 0) buckets.delete(account);
        if (bucket.demand === 0) continue;
        demands.push({ account, requestsPerSecond: Math.round(bucket.demand * 100) / 100 });
      }
      return demands;
    },
  };
}
