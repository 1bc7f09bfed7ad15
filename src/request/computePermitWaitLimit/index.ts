/**
 * Time for which a request waits for the permit to be sent to an endpoint with a rate limit.
 */

/** Options of {@link computePermitWaitLimit}. */
export interface ComputePermitWaitLimitOptions {
  /** Priority from 0, the most urgent, to 9. */
  readonly priority: number;
  /** Time until the caller must have its final response, in milliseconds. */
  readonly remainingMilliseconds: number;
}

const MAXIMUM_WAIT_MILLISECONDS = 1_000;
/** Share of the remaining time that a request may wait, so that the endpoint has time to respond. */
const REMAINING_SHARE = 0.5;
/** Reduction of the wait for each step of priority: under a constant demand, urgent requests get more permits. */
const REDUCTION_PER_PRIORITY = 0.08;

/**
 * Computes the wait limit of a request.
 *
 * @param options - the priority and the remaining time in milliseconds
 * @returns milliseconds; 0 when no time is left
 * @example
 * computePermitWaitLimit({ priority: 0, remainingMilliseconds: 20_000 }); // 1_000
 */
export function computePermitWaitLimit(options: ComputePermitWaitLimitOptions): number {
  const { priority, remainingMilliseconds } = options;
  const byPriority = MAXIMUM_WAIT_MILLISECONDS * (1 - REDUCTION_PER_PRIORITY * priority);
  return Math.max(0, Math.min(byPriority, remainingMilliseconds * REMAINING_SHARE));
}
