/**
 * Count of a stream's runs, and what it still allows.
 */
import type { SiteRoute } from '../../../types/site/index.js';

/** Runs of a stream, for the log and the metrics. */
export interface RunCounts {
  /** Runs that may have reached an endpoint. */
  readonly sends: number;
  /** Runs that an endpoint refused. */
  readonly refused: number;
}

/** Tally of one stream. */
export interface RunCounter {
  /** Counts a run that broke off; returns how many did. */
  readonly recordFailed: () => number;
  /** Counts a run that an endpoint refused without running it. */
  readonly recordRefused: () => void;
  readonly recordMayHaveRun: () => void;
  /** Whether a run may have begun at an endpoint. */
  readonly mayHaveRun: () => boolean;
  /** Whether the next run is not the first. */
  readonly isRepeat: () => boolean;
  /** Whether the run under way is the last that the route allows. */
  readonly isLastRun: () => boolean;
  /** Whether the route allows another run after one that breaks off now. */
  readonly mayRunAgain: () => boolean;
  /** Whether another run may follow those that were refused. */
  readonly mayRetryRefused: () => boolean;
  readonly count: (isRunning: boolean) => RunCounts;
}

/** Runs that endpoints refused before a request is refused. */
const MAXIMUM_REFUSED_RUNS = 3;
/** Runs of a stream that can be resumed at least, whatever its route says. */
const MINIMUM_RUNS = 2;

/**
 * Creates the tally of a stream that has not run.
 *
 * @param route - attempts that the route allows, and whether its streams can be resumed
 * @returns the tally
 * @example
 * createRunCounter(route).mayRunAgain();
 */
export function createRunCounter(
  route: Pick<SiteRoute, 'maximumAttempts' | 'isResumable'>,
): RunCounter {
  let failed = 0;
  let refused = 0;
  let mayHaveRun = false;
  return {
    recordFailed: () => {
      mayHaveRun = true;
      failed += 1;
      return failed;
    },
    recordRefused: () => {
      refused += 1;
    },
    recordMayHaveRun: () => {
      mayHaveRun = true;
    },
    mayHaveRun: () => mayHaveRun,
    isRepeat: () => failed + refused > 0,
    isLastRun: () => failed + 1 >= route.maximumAttempts,
    mayRunAgain: () => route.isResumable && failed < Math.max(MINIMUM_RUNS, route.maximumAttempts),
    mayRetryRefused: () => refused <= MAXIMUM_REFUSED_RUNS,
    count: (isRunning) => ({ sends: failed + (isRunning ? 1 : 0), refused }),
  };
}
