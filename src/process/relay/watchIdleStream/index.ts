/**
 * Watch on the silence of one run.
 */

import type { Clock } from '../../../types/clock/index.js';

/** Options of {@link watchIdleStream}. */
export interface WatchIdleStreamOptions {
  readonly clock: Clock;
  /** Silence after which `onSilence` is called, first and then at doubled times. */
  readonly getIdleLimit: () => number;
  /** Silence after which the run is replaced if it can be, in milliseconds. */
  readonly getReplaceLimit: () => number;
  /** Called with the number of the silence's round, from 1. */
  readonly onIdle: (round: number) => void;
  /** Called when the run is to be replaced; false when it cannot be now. */
  readonly onReplace: () => boolean;
}

/** A watch. */
export interface IdleStreamWatch {
  /** Begins anew: something was heard, or the run's path has changed. */
  readonly reset: () => void;
  readonly stop: () => void;
}

const MINIMUM_TIMER_MILLISECONDS = 20;
/** Pause between two tries to replace a silent run, in milliseconds. */
const REPLACE_RETRY_MILLISECONDS = 400;

/**
 * Creates a watch that has not begun; `note` begins it.
 *
 * @param options - limits and what to call
 * @returns the watch
 * @example
 * const watch = watchIdleStream(options);
 * watch.reset();
 */
export function watchIdleStream(options: WatchIdleStreamOptions): IdleStreamWatch {
  const { clock, getIdleLimit, getReplaceLimit, onIdle, onReplace } = options;
  let lastDataAt = 0;
  let rounds = 0;
  let cancelTimer: (() => void) | undefined;
  const getNextLimit = (): number => Math.min(getIdleLimit() * 2 ** rounds, getReplaceLimit());
  const arm = (): void => {
    const pause = lastDataAt + getNextLimit() - clock.now();
    cancelTimer = clock.schedule(Math.max(MINIMUM_TIMER_MILLISECONDS, pause), onDue);
  };
  const onDue = (): void => {
    const idleMilliseconds = clock.now() - lastDataAt;
    if (idleMilliseconds >= getReplaceLimit()) {
      cancelTimer = undefined;
      if (!onReplace()) cancelTimer = clock.schedule(REPLACE_RETRY_MILLISECONDS, onDue);
      return;
    }
    const isDue = idleMilliseconds >= getNextLimit();
    if (isDue) rounds += 1;
    arm();
    if (isDue) onIdle(rounds);
  };
  return {
    reset: () => {
      lastDataAt = clock.now();
      rounds = 0;
      if (!cancelTimer) arm();
    },
    stop: () => {
      cancelTimer?.();
      cancelTimer = undefined;
      lastDataAt = 0;
    },
  };
}
