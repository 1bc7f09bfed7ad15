/**
 * Watch on what ends or disturbs a stream from outside: silence, lost endpoints, time, its caller.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import { limitSilence } from '../../../request/limitSilence/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';
import { watchIdleStream, type IdleStreamWatch } from '../watchIdleStream/index.js';

/** Options of {@link watchStream}. */
export interface WatchStreamOptions {
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
  readonly onDisconnect: () => void;
}

/** Watch on one stream. */
export interface StreamWatch extends IdleStreamWatch {
  /** Ends the watch for good. */
  readonly close: () => void;
}

/**
 * Creates the watch on one stream; silence counts from `note` on.
 *
 * @param options - the stream, and what to call
 * @returns the watch
 * @example
 * const watch = watchStream(options);
 * watch.reset();
 */
export function watchStream(options: WatchStreamOptions): StreamWatch {
  const { context, request, getPath, hasBegun, onReplace, onLost, onTimeUp, onDisconnect } =
    options;
  const { clock, examiner } = context;
  const listEndpoints = (): string[] => (getPath()?.hops ?? []).map(({ endpoint }) => endpoint);
  const idleWatch = watchIdleStream({
    clock,
    getIdleLimit: () => limitSilence(getPath(), hasBegun()).ask,
    getReplaceLimit: () => limitSilence(getPath(), hasBegun()).replace,
    onIdle: (round) => {
      examiner.examinePath(listEndpoints(), round);
    },
    onReplace,
  });
  const stopLostListener = context.onLost((lost) => {
    if (listEndpoints().includes(lost)) onLost(lost);
  });
  const cancelDeadline = clock.schedule(Math.max(0, request.deadlineAt - clock.now()), onTimeUp);
  request.response.onDisconnect(onDisconnect);
  return {
    reset: idleWatch.reset,
    stop: idleWatch.stop,
    close: () => {
      idleWatch.stop();
      cancelDeadline();
      stopLostListener();
    },
  };
}
