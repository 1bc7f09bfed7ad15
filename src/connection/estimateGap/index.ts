/**
 * Streaming estimate of the time between tokens of a link, and the stall timeout derived from it.
 */

/** Estimate of the logarithm of a gap: its mean and its variance. */
export interface GapEstimate {
  readonly mean: number;
  readonly variance: number;
  readonly samples: number;
}

/** Options of {@link computeTimeout}. */
export interface ComputeTimeoutOptions {
  readonly estimate: GapEstimate;
  /** Number of standard deviations above the mean of the logarithm. */
  readonly deviations: number;
  /** Timeout until the estimate has enough samples, in the unit of the gaps. */
  readonly initial: number;
  readonly minimum: number;
  readonly maximum: number;
}

const WEIGHT = 1 / 64;
const MINIMUM_SAMPLES = 16;
const MINIMUM_GAP = 0.01;
const INITIAL_VARIANCE = 0.25;

/** Minimum deviation of the logarithm, so that queueing does not cause false timeouts. */
const MINIMUM_DEVIATION = 0.2;

/** Estimate without samples. */
export const EMPTY_GAP_ESTIMATE: GapEstimate = { mean: 0, variance: INITIAL_VARIANCE, samples: 0 };

/**
 * Adds one gap to an estimate.
 *
 * The estimate is an exponentially weighted mean and variance of the gap's logarithm. It tracks the
 * quantiles of a skewed distribution in constant memory.
 *
 * @param estimate - the estimate so far
 * @param gap - the new gap, in any unit that all gaps share
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
 * Computes the time after which an idle link counts as stalled.
 *
 * @param options - the estimate, the number of deviations and the bounds in the unit of the gaps
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
