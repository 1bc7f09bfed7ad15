/**
 * Watch on what ends or disturbs a stream from outside: silence, lost endpoints, time, its caller.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import { computeIdleLimit } from '../../../request/computeIdleLimit/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';
import { createSilenceWatch, type SilenceWatch } from '../watchSilence/index.js';

/** Options of {@link createStreamWatch}. */
export interface CreateStreamWatchOptions {
  readonly context: RelayContext;
  readonly request: RelayedRequest;
  /** Path of the run, if there is one. */
  readonly getPath: () => ChosenPath | undefined;
  /** Whether an event was passed on. */
  readonly hasBegun: () => boolean;
  /** Called when the run is silent for too long; false when nothing can replace it now. */
  readonly onReplace: () => boolean;
  /** Called when an endpoint of the path is lost. */
  readonly onLost: (endpoint: string) => void;
  /** Called when the final answer is due. */
  readonly onTimeUp: () => void;
  /** Called when the caller has gone. */
  readonly onGone: () => void;
}

/** Watch on one stream. */
export interface StreamWatch extends SilenceWatch {
  /** Ends the watch for good. */
  readonly close: () => void;
}

/**
 * Creates the watch on one stream; silence counts from `note` on.
 *
 * @param options - the stream, and what to call
 * @returns the watch
 * @example
 * const watch = createStreamWatch(options);
 * watch.note();
 */
export function createStreamWatch(options: CreateStreamWatchOptions): StreamWatch {
  const { context, request, getPath, hasBegun, onReplace, onLost, onTimeUp, onGone } = options;
  const { clock, examiner } = context;
  const listEndpoints = (): string[] => (getPath()?.hops ?? []).map(({ endpoint }) => endpoint);
  const silence = createSilenceWatch({
    clock,
    getLimit: () => computeIdleLimit(getPath(), hasBegun()).probe,
    getReplace: () => computeIdleLimit(getPath(), hasBegun()).replace,
    onSilence: (round) => {
      examiner.examinePath(listEndpoints(), round);
    },
    onReplace,
  });
  const stopLostListener = context.onLost((lost) => {
    if (listEndpoints().includes(lost)) onLost(lost);
  });
  const cancelFinal = clock.schedule(Math.max(0, request.finalAt - clock.now()), onTimeUp);
  request.response.onDisconnect(onGone);
  return {
    note: silence.note,
    stop: silence.stop,
    close: () => {
      silence.stop();
      cancelFinal();
      stopLostListener();
    },
  };
}
