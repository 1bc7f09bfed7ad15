/**
 * Watch on the silence of one run.
 */

import type { Clock } from '../../../types/clock/index.js';

/** Options of {@link createSilenceWatch}. */
export interface CreateSilenceWatchOptions {
  readonly clock: Clock;
  /** Silence after which `onSilence` is called, first and then at doubled times. */
  readonly getLimit: () => number;
  /** Silence after which the run is replaced if it can be, in milliseconds. */
  readonly getReplace: () => number;
  /** Called with the number of the silence's round, from 1. */
  readonly onSilence: (round: number) => void;
  /** Called when the run is to be replaced; false when it cannot be now. */
  readonly onReplace: () => boolean;
}

/** A watch. */
export interface SilenceWatch {
  /** Begins anew: something was heard, or the run's path has changed. */
  readonly note: () => void;
  readonly stop: () => void;
}

const LEAST_PAUSE_MILLISECONDS = 20;
/** Pause between two tries to replace a silent run, in milliseconds. */
const REPLACE_AGAIN_MILLISECONDS = 400;

/**
 * Creates a watch that has not begun; `note` begins it.
 *
 * @param options - limits and what to call
 * @returns the watch
 * @example
 * const watch = createSilenceWatch(options);
 * watch.note();
 */
export function createSilenceWatch(options: CreateSilenceWatchOptions): SilenceWatch {
  const { clock, getLimit, getReplace, onSilence, onReplace } = options;
  let heardAt = 0;
  let asked = 0;
  let cancelTimer: (() => void) | undefined;
  const getDue = (): number => Math.min(getLimit() * 2 ** asked, getReplace());
  const arm = (): void => {
    const pause = heardAt + getDue() - clock.now();
    cancelTimer = clock.schedule(Math.max(LEAST_PAUSE_MILLISECONDS, pause), onDue);
  };
  const onDue = (): void => {
    const silence = clock.now() - heardAt;
    if (silence >= getReplace()) {
      cancelTimer = undefined;
      if (!onReplace()) cancelTimer = clock.schedule(REPLACE_AGAIN_MILLISECONDS, onDue);
      return;
    }
    const isDue = silence >= getDue();
    if (isDue) asked += 1;
    arm();
    if (isDue) onSilence(asked);
  };
  return {
    note: () => {
      heardAt = clock.now();
      asked = 0;
      if (!cancelTimer) arm();
    },
    stop: () => {
      cancelTimer?.();
      cancelTimer = undefined;
      heardAt = 0;
    },
  };
}
