/**
 * Streaming estimate of a link's time between tokens and the timeout derived from it.
 */

/** Estimate of the logarithm of a gap: its mean and its mean square deviation. */
export interface GapEstimate {
  readonly mean: number;
  readonly variance: number;
  readonly samples: number;
}

/** Options of {@link computeTimeout}. */
export interface ComputeTimeoutOptions {
  readonly estimate: GapEstimate;
  /** Number of standard deviations of the logarithm above its mean. */
  readonly deviations: number;
  /** Timeout until enough gaps were seen, in the unit of the gaps. */
  readonly initial: number;
  readonly minimum: number;
  readonly maximum: number;
}

const WEIGHT = 1 / 64;
const MINIMUM_SAMPLES = 16;
const MINIMUM_GAP = 0.01;
const INITIAL_VARIANCE = 0.25;

/** Least deviation of the logarithm that a timeout allows for, so that a queue raises no alarm. */
const MINIMUM_DEVIATION = 0.2;

/** The estimate before any gap was seen. */
export const EMPTY_GAP_ESTIMATE: GapEstimate = { mean: 0, variance: INITIAL_VARIANCE, samples: 0 };

/**
 * Adds one gap to an estimate.
 *
 * The estimate is an exponentially weighted mean and variance of the gap's logarithm, which follows
 * the quantiles of a skewed distribution with constant memory.
 *
 * @param estimate - the estimate so far
 * @param gap - the new gap; the unit is the caller's
 * @returns the new estimate
 * @example
 * addGap(EMPTY_GAP_ESTIMATE, 25);
 */
export function addGap(estimate: GapEstimate, gap: number): GapEstimate {
  const value = Math.log(Math.max(gap, MINIMUM_GAP));
  const samples = estimate.samples + 1;
  if (samples === 1) return { mean: value, variance: INITIAL_VARIANCE, samples };
  const weight = Math.max(WEIGHT, 1 / samples);
  const difference = value - estimate.mean;
  const mean = estimate.mean + weight * difference;
  const variance = (1 - weight) * (estimate.variance + weight * difference * difference);
  return { mean, variance, samples };
}

/**
 * Computes the time after which a silent link counts as stalled.
 *
 * @param options - the estimate, the quantile as deviations, and the bounds
 * @returns the timeout, in the unit of the gaps
 * @example
 * computeTimeout({ estimate, deviations: 5, initial: 2000, minimum: 50, maximum: 5000 });
 */
export function computeTimeout(options: ComputeTimeoutOptions): number {
  const { estimate, deviations, minimum, maximum } = options;
  if (estimate.samples < MINIMUM_SAMPLES) return options.initial;
  const deviation = Math.max(Math.sqrt(estimate.variance), MINIMUM_DEVIATION);
  const timeout = Math.exp(estimate.mean + deviations * deviation);
  return Math.min(Math.max(timeout, minimum), maximum);
}
