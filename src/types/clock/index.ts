/**
 * Port to a monotonic clock and its timers.
 */

/** Monotonic clock. */
export interface Clock {
  /** Returns the milliseconds since an arbitrary point in time. */
  readonly now: () => number;
  /** Schedules an action after a delay in milliseconds; returns a function that cancels it. */
  readonly schedule: (milliseconds: number, action: () => void) => () => void;
  /** Schedules like `schedule`; when the delay has passed, what has arrived on connections is read before the action. */
  readonly scheduleAfterReads: (milliseconds: number, action: () => void) => () => void;
}
