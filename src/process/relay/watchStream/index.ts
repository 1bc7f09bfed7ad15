/**
 * Watch for the external events of a stream: idle time, deadline, the node's stop and disconnect.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import { computeIdleLimit } from '../../../request/computeIdleLimit/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';
import { watchIdleStream, type IdleStreamWatch } from '../watchIdleStream/index.js';

/** Options of {@link watchStream}. */
export interface WatchStreamOptions {
  readonly context: RelayContext;
  readonly request: RelayedRequest;
  /** Returns the path of the current run; undefined when there is none. */
  readonly getPath: () => ChosenPath | undefined;
  /** Returns whether an event was forwarded. */
  readonly hasBegun: () => boolean;
  /** Called when the run is idle for too long; returns false when nothing can replace it now. */
  readonly onReplace: () => boolean;
  /** Called at the deadline of the final response. */
  readonly onTimeUp: () => void;
  /** Called when the node stops. */
  readonly onStop: () => void;
  /** Called when the caller has disconnected. */
  readonly onDisconnect: () => void;
}

/** What a node does with a silent run whose path has a lost endpoint. */
export type SilenceReaction = 'move' | 'replace';

/** Watch of one stream. */
export interface StreamWatch extends IdleStreamWatch {
  /**
   * Returns the time until the run has received nothing for so long that it is moved to another path or replaced by
   * another run, in milliseconds; 0 or less when it has.
   */
  readonly getTimeToSilence: (reaction: SilenceReaction) => number;
  /** Ends the watch; it cannot be started again. */
  readonly close: () => void;
}

/**
 * Watches one stream; the idle time starts with `reset`.
 *
 * @param options - the stream and the callbacks
 * @returns the watch
 * @example
 * const watch = watchStream(options);
 * watch.reset();
 */
export function watchStream(options: WatchStreamOptions): StreamWatch {
  const { context, request, getPath, hasBegun, onReplace } = options;
  const { onTimeUp, onStop, onDisconnect } = options;
  const { clock, prober } = context;
  const listEndpoints = (): string[] => (getPath()?.hops ?? []).map(({ endpoint }) => endpoint);
  const getProbeLimit = (): number => computeIdleLimit(getPath(), hasBegun()).probe;
  const idleWatch = watchIdleStream({
    clock,
    getIdleLimit: getProbeLimit,
    getReplaceLimit: () => computeIdleLimit(getPath(), hasBegun()).replaceWithoutLoss,
    onIdle: (round) => {
      prober.probePath(listEndpoints(), round);
    },
    onReplace,
  });
  const cancelDeadline = clock.schedule(Math.max(0, request.deadlineAt - clock.now()), onTimeUp);
  const removeStopCallback = context.stopSignal.onRaised(onStop);
  request.response.onDisconnect(onDisconnect);
  return {
    reset: idleWatch.reset,
    stop: idleWatch.stop,
    getIdleMilliseconds: idleWatch.getIdleMilliseconds,
    getTimeToSilence: (reaction) => {
      const { probe, move } = computeIdleLimit(getPath(), hasBegun());
      return (reaction === 'move' ? move : probe) - idleWatch.getIdleMilliseconds();
    },
    close: () => {
      idleWatch.stop();
      cancelDeadline();
      removeStopCallback();
    },
  };
}
