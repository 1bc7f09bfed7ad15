/**
 * Watch on the silence of one run.
 */

/** Options of {@link createSilenceWatch}. */
export interface CreateSilenceWatchOptions {
  readonly now: () => number;
  /** Silence after which `onSilence` is called, first and then at doubled times. */
  readonly getLimit: () => number;
  /** Silence after which the run is given up, in milliseconds. */
  readonly getGiveUp: () => number;
  readonly onSilence: () => void;
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
  const { now, getLimit, getGiveUp, onSilence, onGiveUp } = options;
  let heardAt = 0;
  let asked = 0;
  let timer: NodeJS.Timeout | undefined;
  const getDue = (): number => Math.min(getLimit() * 2 ** asked, getGiveUp());
  const arm = (): void => {
    const pause = heardAt + getDue() - now();
    timer = setTimeout(onDue, Math.max(LEAST_PAUSE_MILLISECONDS, pause));
  };
  const onDue = (): void => {
    const silence = now() - heardAt;
    if (silence >= getGiveUp()) {
      timer = undefined;
      onGiveUp();
      return;
    }
    const isDue = silence >= getDue();
    if (isDue) asked += 1;
    arm();
    if (isDue) onSilence();
  };
  return {
    note: () => {
      heardAt = now();
      asked = 0;
      if (timer === undefined) arm();
    },
    stop: () => {
      clearTimeout(timer);
      timer = undefined;
      heardAt = 0;
    },
  };
}
