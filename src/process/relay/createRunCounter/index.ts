/**
 * Counter of the runs of one stream, and the limits on further runs.
 */
import type { SiteRoute } from '../../../types/site/index.js';

/** Number of runs of a stream, for the log and the metrics. */
export interface RunCounts {
  /** Number of runs that may have reached an endpoint. */
  readonly sends: number;
  /** Number of runs that an endpoint refused. */
  readonly refused: number;
}

/** Run counter of one stream. */
export interface RunCounter {
  /** Counts a failed run; returns the number of failed runs. */
  readonly recordFailed: () => number;
  /** Records that no further run may follow, as the attempts of the route may be used up. */
  readonly recordExhausted: () => void;
  /** Counts a run that an endpoint refused without executing it. */
  readonly recordRefused: () => void;
  /** Counts a run that reached no endpoint, so that the next one is no repeat. */
  readonly recordNotSent: () => void;
  /** Records that a run may have begun at an endpoint. */
  readonly recordMayHaveRun: () => void;
  /** Returns whether a run may have begun at an endpoint. */
  readonly mayHaveRun: () => boolean;
  /** Returns whether the next run is not the first one. */
  readonly isRepeat: () => boolean;
  /** Returns whether the current run is the last one that the route allows. */
  readonly isLastRun: () => boolean;
  /** Returns whether the route allows another run if the current one fails. */
  readonly mayRunAgain: () => boolean;
  /** Returns whether the route allows another run to take over, where a number of runs are open. */
  readonly mayReplaceRun: (openRuns: number) => boolean;
  /** Returns whether another run may follow the refused ones. */
  readonly mayRetryRefused: () => boolean;
  /** Returns the numbers of runs; `isRunning` adds the current run. */
  readonly count: (isRunning: boolean) => RunCounts;
}

/** Number of refused runs up to which another run is tried. */
const MAXIMUM_REFUSED_RUNS = 3;
/** Minimum number of runs of a resumable stream, regardless of the attempts of its route. */
const MINIMUM_RUNS = 2;

/**
 * Creates the counter of a stream without runs.
 *
 * @param route - maximum attempts of the route, and whether its streams are resumable
 * @param isRepeat - whether the node that handed the request over has sent it to an endpoint
 * @returns the run counter
 * @example
 * createRunCounter(route).mayRunAgain();
 */
export function createRunCounter(
  route: Pick<SiteRoute, 'maximumAttempts' | 'isResumable'>,
  isRepeat = false,
): RunCounter {
  let failed = 0;
  let refused = 0;
  let notSent = 0;
  let mayHaveRun = false;
  let isExhausted = false;
  return {
    recordFailed: () => {
      mayHaveRun = true;
      failed += 1;
      return failed;
    },
    recordExhausted: () => {
      isExhausted = true;
    },
    recordRefused: () => {
      refused += 1;
    },
    recordNotSent: () => {
      notSent += 1;
    },
    recordMayHaveRun: () => {
      mayHaveRun = true;
    },
    mayHaveRun: () => mayHaveRun,
    isRepeat: () => isRepeat || failed + refused > 0,
    isLastRun: () => isExhausted || failed + 1 >= route.maximumAttempts,
    mayRunAgain: () =>
      !isExhausted && route.isResumable && failed < Math.max(MINIMUM_RUNS, route.maximumAttempts),
    mayReplaceRun: (openRuns) =>
      !isExhausted && route.isResumable && failed + openRuns < route.maximumAttempts,
    mayRetryRefused: () => refused + notSent <= MAXIMUM_REFUSED_RUNS,
    count: (isRunning) => ({
      sends: failed + (isRunning ? 1 : 0),
      refused: refused + notSent,
    }),
  };
}
