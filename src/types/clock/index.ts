/**
 * Port to the passing of time.
 */

/** A clock that never goes back. */
export interface Clock {
  /** Milliseconds since some moment. */
  readonly now: () => number;
  /** Runs an action after a time in milliseconds; returns a function that cancels it. */
  readonly schedule: (milliseconds: number, action: () => void) => () => void;
}
