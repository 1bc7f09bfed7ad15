/**
 * Watch on the silence of one run.
 */

import type { Clock } from '../../../types/clock/index.js';

/** Options of {@link createSilenceWatch}. */
export interface CreateSilenceWatchOptions {
  readonly clock: Clock;
  /** Silence after which `onSilence` is called, first and then at doubled times. */
  readonly getLimit: () => number;
  /** Silence after which the run is given up, in milliseconds. */
  readonly getGiveUp: () => number;
  /** Called with the number of the silence's round, from 1. */
  readonly onSilence: (round: number) => void;
  readonly onGiveUp: () => void;
}

/** A watch. */
export interface SilenceWatch {
  /** Begins anew: something was heard, or the run's path has changed. */
  readonly note: () => void;
  readonly stop: () => void;
}

const LEAST_PAUSE_MILLISECONDS = 20;

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
  const { clock, getLimit, getGiveUp, onSilence, onGiveUp } = options;
  let heardAt = 0;
  let asked = 0;
  let cancelTimer: (() => void) | undefined;
  const getDue = (): number => Math.min(getLimit() * 2 ** asked, getGiveUp());
  const arm = (): void => {
    const pause = heardAt + getDue() - clock.now();
    cancelTimer = clock.schedule(Math.max(LEAST_PAUSE_MILLISECONDS, pause), onDue);
  };
  const onDue = (): void => {
    const silence = clock.now() - heardAt;
    if (silence >= getGiveUp()) {
      cancelTimer = undefined;
      onGiveUp();
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
