/**
 * Concurrency limit of a pool of engines, adapted to the measured latency.
 */

/** State of a limit. Latencies are in milliseconds. */
export interface ConcurrencyLimit {
  readonly limit: number;
  readonly baseLatency: number;
  readonly recentLatency: number;
}

/** Options of {@link adaptLimit}. */
export interface AdaptLimitOptions {
  readonly state: ConcurrencyLimit;
  readonly latencyMilliseconds: number;
  readonly inFlight: number;
  /** Accepted latency as a factor of the base latency. */
  readonly tolerance: number;
  readonly minimum: number;
  readonly maximum: number;
}

const RECENT_WEIGHT = 0.1;
const BASE_RISE_WEIGHT = 0.002;
const SAMPLES_PER_ROUND = 1;
const GROWTH_PER_ROUND = 1;
const SHRINK_WEIGHT = 0.5;

/**
 * Creates a limit without latency samples.
 *
 * @param limit - the initial limit
 * @returns the initial state
 * @example
 * createConcurrencyLimit(64);
 */
export function createConcurrencyLimit(limit: number): ConcurrencyLimit {
  return { limit, baseLatency: 0, recentLatency: 0 };
}

/** Returns the minimum latency so far; it rises only while the limit is at its minimum. */
function updateBaseLatency({
  state,
  latencyMilliseconds: latency,
  minimum,
}: AdaptLimitOptions): number {
  const { baseLatency: base, limit } = state;
  if (base === 0 || latency < base) return latency;
  return limit > minimum ? base : base + BASE_RISE_WEIGHT * (latency - base);
}

/**
 * Adapts a limit to one more latency sample.
 *
 * The gradient is the accepted latency divided by the recent one, between one half and one. Per
 * round, which is one sample of each running request, the limit grows by one while the latency is
 * accepted and shrinks by a share of itself otherwise, so that the nodes of a pool converge to
 * equal limits. It does not change while less than half of it is used, since latency then does not
 * depend on it.
 *
 * @param options - the state, the new latency in milliseconds and the bounds
 * @returns the next state
 * @example
 * adaptLimit({ state, latencyMilliseconds: 40, inFlight: 60, tolerance: 2, minimum: 4, maximum: 4096 });
 */
export function adaptLimit(options: AdaptLimitOptions): ConcurrencyLimit {
  const { state, latencyMilliseconds, inFlight, tolerance } = options;
  const baseLatency = updateBaseLatency(options);
  const recentLatency =
    state.recentLatency === 0
      ? latencyMilliseconds
      : state.recentLatency + RECENT_WEIGHT * (latencyMilliseconds - state.recentLatency);
  const gradient = Math.min(1, Math.max(0.5, (tolerance * baseLatency) / recentLatency));
  const isIdle = inFlight < state.limit / 2;
  if (isIdle) return { limit: state.limit, baseLatency, recentLatency };
  const round = Math.min(1, SAMPLES_PER_ROUND / state.limit);
  const step = gradient === 1 ? GROWTH_PER_ROUND : -SHRINK_WEIGHT * (1 - gradient) * state.limit;
  const next = state.limit + round * step;
  const limit = Math.min(options.maximum, Math.max(options.minimum, next));
  return { limit, baseLatency, recentLatency };
}
