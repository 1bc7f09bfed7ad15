/**
 * Detection of nodes whose membership state differs.
 */
import type { NodeContext } from '../../node/createContext/index.js';

/** Options of {@link createDigestCheck}. */
export interface CreateDigestCheckOptions {
  readonly context: NodeContext;
  readonly computeDigest: () => number;
  /** Exchanges the full state with a node; returns false when the node is unknown. */
  readonly synchronize: (node: string) => boolean;
}

const MISMATCHES_BEFORE_SYNCHRONIZE = 8;
const MINIMUM_INTERVAL_MILLISECONDS = 60_000;

/**
 * Creates the digest check.
 *
 * After 8 received digests in succession that differ from the local one, the full state is exchanged
 * once, at most once per minute.
 *
 * @param options - the context, the local digest, and the exchange
 * @returns a function that compares each digest of a peer
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
