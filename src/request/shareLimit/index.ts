/**
 * Division of a client account's limit among the nodes that it uses.
 */

/** Options of {@link computeLimitShare}. Rates are in requests a second. */
export interface ComputeLimitShareOptions {
  readonly limit: number;
  readonly localDemand: number;
  readonly peerDemands: readonly number[];
  /** Share assumed while this node knows of no demand at all. */
  readonly initialShare: number;
}

/**
 * Computes this node's part of an account's limit.
 *
 * The limit is divided by need: nodes that ask for less than an equal part keep what they ask for,
 * and what they leave is divided equally among the others.
 *
 * @param options - the limit and the demand on each node
 * @returns this node's part in requests a second
 * @example
 * computeLimitShare({ limit: 30, ownDemand: 100, peerDemands: [5, 100], initialShare: 1 / 3 }); // 12.5
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
