/**
 * Retry budget of one pool.
 */

/** Budget that limits the rate of retries. */
export interface RetryBudget {
  readonly addRequest: () => void;
  /** Takes one retry; returns 0 when it may start now, otherwise the time to wait in milliseconds. */
  readonly take: (now: number) => number;
}

const RETRIES_PER_REQUEST = 0.1;
const MAXIMUM_RESERVE = 100;
const INITIAL_RESERVE = 20;
const MINIMUM_RETRIES_PER_SECOND = 2;

/**
 * Creates a retry budget.
 *
 * Every request adds a tenth of a retry, so that a failure raises the offered load by at most a tenth
 * once the reserve is used up. A minimum rate of retries keeps answers that have started from waiting
 * indefinitely.
 *
 * @returns the budget
 * @example
 * createRetryBudget().take(0); // 0
 */
export function createRetryBudget(): RetryBudget {
  let reserve = INITIAL_RESERVE;
  let nextRetryAt = 0;
  return {
    addRequest: () => {
      reserve = Math.min(MAXIMUM_RESERVE, reserve + RETRIES_PER_REQUEST);
    },
    take: (now) => {
      if (reserve >= 1) {
        reserve -= 1;
        return 0;
      }
      if (now >= nextRetryAt) {
        nextRetryAt = now + 1_000 / MINIMUM_RETRIES_PER_SECOND;
        return 0;
      }
      return nextRetryAt - now;
    },
  };
}
