/**
 * Division of a client account's rate limit among the nodes that it uses.
 */

/** Options of {@link computeLimitShare}. Rates are in requests per second. */
export interface ComputeLimitShareOptions {
  readonly limit: number;
  readonly localDemand: number;
  readonly peerDemands: readonly number[];
  /** Share that is assumed while no demand is known. */
  readonly initialShare: number;
}

/**
 * Computes this node's share of an account's limit.
 *
 * The division is max-min fair: nodes whose demand is below an equal share get their demand, and the
 * remainder is divided equally among the others.
 *
 * @param options - the limit and the demand on each node
 * @returns this node's share in requests per second
 * @example
 * computeLimitShare({ limit: 30, localDemand: 100, peerDemands: [5, 100], initialShare: 1 / 3 }); // 12.5
 */
export function computeLimitShare(options: ComputeLimitShareOptions): number {
  const { limit, localDemand, peerDemands } = options;
  if (localDemand <= 0 && peerDemands.length === 0) return limit * options.initialShare;
  const demands = [localDemand, ...peerDemands].sort((left, right) => left - right);
  let remaining = limit;
  let share = limit;
  for (const [index, demand] of demands.entries()) {
    share = remaining / (demands.length - index);
    if (demand > share) break;
    remaining -= demand;
  }
  return localDemand <= share ? Math.max(localDemand, share) : share;
}
