/**
 * Watch for a run that receives no data.
 */
import type { Clock } from '../../../types/clock/index.js';

/** Options of {@link watchIdleStream}. */
export interface WatchIdleStreamOptions {
  readonly clock: Clock;
  /** Returns the idle time before the first `onIdle`, in milliseconds; it doubles each round. */
  readonly getIdleLimit: () => number;
  /** Returns the idle time after which the run is replaced if possible, in milliseconds. */
  readonly getReplaceLimit: () => number;
  /** Called at the end of each round without data, with its number since the last data, from 1. */
  readonly onIdle: (round: number) => void;
  /** Called to replace the run; returns false when that is not possible now. */
  readonly onReplace: () => boolean;
}

/** Idle watch of one run. */
export interface IdleStreamWatch {
  /** Starts or resets the watch, after data arrived or the path of the run changed. */
  readonly reset: () => void;
  readonly stop: () => void;
  /** Returns the time since the last data in milliseconds; 0 while the watch is stopped. */
  readonly getIdleMilliseconds: () => number;
}

const MINIMUM_TIMER_MILLISECONDS = 20;
/** Time between two attempts to replace an idle run, in milliseconds. */
const REPLACE_RETRY_MILLISECONDS = 400;

/**
 * Creates a watch for a run that receives no data; `reset` starts it.
 *
 * @param options - the limits and the callbacks
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
    getIdleMilliseconds: () => (cancelTimer ? clock.now() - lastDataAt : 0),
    stop: () => {
      cancelTimer?.();
      cancelTimer = undefined;
      lastDataAt = 0;
    },
  };
}
