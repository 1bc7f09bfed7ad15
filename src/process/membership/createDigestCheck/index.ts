/**
 * Check that two nodes believe the same of all members.
 */
import type { NodeContext } from '../../node/createContext/index.js';

/** Options of {@link createDigestCheck}. */
export interface CreateDigestCheckOptions {
  readonly context: NodeContext;
  readonly computeDigest: () => number;
  /** Exchanges everything with a node; false when it is unknown. */
  readonly synchronize: (node: string) => boolean;
}

const MISMATCHES_BEFORE_SYNCHRONIZE = 8;
const MINIMUM_INTERVAL_MILLISECONDS = 60_000;

/**
 * Creates the check: after several digests that differ, everything is exchanged once.
 *
 * @param options - the clock, the own digest, and the exchange
 * @returns a function that takes each digest of a peer
 * @example
 * createDigestCheck(options)('node-2', message.digest);
 */
export function createDigestCheck(
  options: CreateDigestCheckOptions,
): (from: string, digest: number) => void {
  const { context, computeDigest, synchronize } = options;
  let mismatches = 0;
  let synchronizedAt = -MINIMUM_INTERVAL_MILLISECONDS;
  return (from, digest) => {
    mismatches = digest === computeDigest() ? 0 : mismatches + 1;
    const isRecent = context.now() - synchronizedAt < MINIMUM_INTERVAL_MILLISECONDS;
    if (mismatches < MISMATCHES_BEFORE_SYNCHRONIZE || isRecent || !synchronize(from)) return;
    mismatches = 0;
    synchronizedAt = context.now();
    context.count('gossip_synchronized');
  };
}
