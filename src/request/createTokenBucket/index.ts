/**
 * Token bucket: a rate limit that allows bursts.
 */
import { MILLISECONDS_PER_SECOND } from '../../constants/index.js';

/** Options of {@link createTokenBucket}. */
export interface CreateTokenBucketOptions {
  /** Number of tokens that become available in a second. */
  readonly tokensPerSecond: number;
  /** Maximum number of available tokens, which is also the number at first. */
  readonly burst: number;
  /** Returns the time in milliseconds. */
  readonly now: () => number;
}

/** Token bucket. */
export interface TokenBucket {
  /** Returns the number of tokens that are available now; it may be a fraction. */
  readonly countAvailable: () => number;
  /** Takes tokens; returns false, and takes none, when fewer are available. */
  readonly take: (tokens?: number) => boolean;
}

/**
 * Creates a full token bucket.
 *
 * @param options - the rate in tokens per second, the burst in tokens and the clock
 * @returns the bucket
 * @example
 * createTokenBucket({ tokensPerSecond: 10, burst: 2, now: () => 0 }).take(); // true
 */
export function createTokenBucket(options: CreateTokenBucketOptions): TokenBucket {
  const { tokensPerSecond, burst, now } = options;
  let available = burst;
  let refilledAt = now();
  const countAvailable = (): number => {
    const time = now();
    const refill = ((time - refilledAt) * tokensPerSecond) / MILLISECONDS_PER_SECOND;
    available = Math.min(burst, available + refill);
    refilledAt = time;
    return available;
  };
  return {
    countAvailable,
    take: (tokens = 1) => {
      if (countAvailable() < tokens) return false;
      available -= tokens;
      return true;
    },
  };
}
