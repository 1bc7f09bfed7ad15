/**
 * Watch of the path of a stream for endpoints that count as lost.
 *
 * An endpoint counts as lost when its report is late, so it may be sound. A run that still delivers
 * events continues, and so does one that nothing can take over: its endpoint may send the rest.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { TokenEstimate } from '../../../request/estimateTokens/index.js';
import type { StreamPaths } from '../createStreamPaths/index.js';
import { formatHops } from '../formatHops/index.js';
import type { SilenceReaction, StreamWatch } from '../watchStream/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link watchLostEndpoints}. */
export interface WatchLostEndpointsOptions {
  readonly context: Pick<RelayContext, 'clock' | 'decisions' | 'onLost'>;
  readonly request: Pick<RelayedRequest, 'service' | 'log'>;
  readonly paths: Pick<StreamPaths, 'selectWithFirstHop' | 'selectWithoutEndpoints' | 'findLost'>;
  /** Returns the path of the current run; undefined when there is none. */
  readonly getPath: () => ChosenPath | undefined;
  /** Returns whether a run is open that is not being moved. */
  readonly isRunning: () => boolean;
  /** Returns whether the run has delivered enough events to be no cause of the loss. */
  readonly isEstablished: () => boolean;
  /** Returns whether an event was forwarded, so that the run stays open until another one delivers an event. */
  readonly hasBegun: () => boolean;
  /** Returns the time until the run is silent enough for a reaction, in milliseconds; 0 or less when it is. */
  readonly getTimeToSilence: StreamWatch['getTimeToSilence'];
  /** Returns whether time, attempts and the retry budget allow another run to take over from the current one. */
  readonly mayReplace: () => boolean;
  readonly computeSize: () => TokenEstimate;
  /**
   * Finds out whether a run that is not established may be followed by another one, although its lost
   * first endpoint may have crashed by it; ends the request otherwise, where its response has not begun.
   */
  readonly checkSuspect: () => Promise<boolean>;
  /** Called with a path to move the run to, which has the same first endpoint. */
  readonly onMove: (newPath: ChosenPath) => void;
  /** Called with a path for another run, which is to take over. */
  readonly onReplace: (newPath: ChosenPath, reason: string) => void;
}

/** Watch of one stream. */
export interface LostEndpointWatch {
  /** Handles a lost endpoint on the path of the current run, if there is one. */
  readonly check: () => void;
  /** Replaces the run; where nothing can take over, the run continues. */
  readonly replace: (reason: string) => void;
  /** Returns a path for another run that avoids an endpoint, if one may follow now. */
  readonly selectReplacement: (endpoint: string) => ChosenPath | undefined;
  /** Checks the path again after a time. */
  readonly recheckLater: () => void;
  readonly close: () => void;
}

/** Time after which a path with a lost endpoint is checked again, in milliseconds; it doubles each time. */
const FIRST_RECHECK_MILLISECONDS = 200;
const MAXIMUM_RECHECK_MILLISECONDS = 1_600;
const MINIMUM_RECHECK_MILLISECONDS = 20;

/**
 * Watches the path of a stream for lost endpoints.
 *
 * @param options - the stream, its path selection and the callbacks
 * @returns the watch
 * @example
 * const lostEndpoints = watchLostEndpoints(options);
 * lostEndpoints.check();
 */
export function watchLostEndpoints(options: WatchLostEndpointsOptions): LostEndpointWatch {
  const { context, request, paths, getPath, isRunning, isEstablished, hasBegun } = options;
  const { getTimeToSilence, mayReplace, computeSize, checkSuspect, onMove, onReplace } = options;
  const { clock, decisions } = context;
  let cancelRecheck: (() => void) | undefined;
  let rechecks = 0;
  /** Path whose run was logged as kept, so that each is logged once. */
  let keptPath: ChosenPath | undefined;

  const recheckAfter = (milliseconds: number): void => {
    cancelRecheck?.();
    cancelRecheck = clock.schedule(milliseconds, check);
  };
  const recheckLater = (): void => {
    const pause = FIRST_RECHECK_MILLISECONDS * 2 ** rechecks;
    rechecks += 1;
    recheckAfter(Math.min(MAXIMUM_RECHECK_MILLISECONDS, pause));
  };
  const isSilent = (reaction: SilenceReaction): boolean => getTimeToSilence(reaction) <= 0;
  /** Checks the path again at the time at which the run is silent, unless it receives data before. */
  const recheckWhenSilent = (reaction: SilenceReaction): void => {
    recheckAfter(Math.max(MINIMUM_RECHECK_MILLISECONDS, getTimeToSilence(reaction)));
  };
  const logKept = (reason: string): void => {
    const path = getPath();
    if (!path || path === keptPath) return;
    keptPath = path;
    request.log.add('run-kept', { reason, path: formatHops(path.hops) });
  };
  const selectReplacement = (endpoint: string): ChosenPath | undefined => {
    if (!mayReplace()) return undefined;
    const first = hasBegun() ? getPath()?.hops[0]?.endpoint : undefined;
    // An endpoint does not tell two runs of one request apart.
    const excluded = first === undefined ? [endpoint] : [endpoint, first];
    return paths.selectWithoutEndpoints(excluded, computeSize());
  };
  const replaceEndpoint = (lost: string, reason: string): void => {
    const newPath = selectReplacement(lost);
    if (newPath) {
      onReplace(newPath, reason);
      return;
    }
    logKept(reason);
    recheckLater();
  };
  const replaceSuspect = async (lost: string): Promise<void> => {
    const path = getPath();
    const mayRepeat = await checkSuspect();
    if (!isRunning() || getPath() !== path) return;
    if (!isSilent('replace')) {
      recheckWhenSilent('replace');
      return;
    }
    if (mayRepeat) replaceEndpoint(lost, 'endpoint lost');
    else logKept('endpoint lost');
  };
  const findLost = (): string | undefined => paths.findLost(getPath()?.hops ?? [])?.endpoint;
  const avoid = (lost: string): void => {
    const firstHop = getPath()?.hops[0];
    const mayMove = decisions.movesRuns && firstHop?.endpoint !== lost;
    const reaction = mayMove ? 'move' : 'replace';
    if (!isSilent(reaction)) {
      recheckWhenSilent(reaction);
      return;
    }
    if (firstHop?.endpoint === lost && !isEstablished()) {
      void replaceSuspect(lost);
      return;
    }
    const movedPath = mayMove ? paths.selectWithFirstHop(firstHop, computeSize()) : undefined;
    if (movedPath) onMove(movedPath);
    else if (isSilent('replace')) replaceEndpoint(lost, 'endpoint lost');
    else recheckWhenSilent('replace');
  };
  function check(): void {
    const lost = isRunning() ? findLost() : undefined;
    if (lost !== undefined) avoid(lost);
  }

  const stopListener = context.onLost((lost) => {
    const isOnPath = getPath()?.hops.some(({ endpoint }) => endpoint === lost);
    if (!isOnPath || !isRunning()) return;
    rechecks = 0;
    avoid(lost);
  });
  return {
    check,
    selectReplacement,
    recheckLater,
    replace: (reason) => {
      const lost = findLost();
      if (lost !== undefined && isSilent('replace')) {
        replaceEndpoint(lost, reason);
        return;
      }
      logKept(reason);
      recheckLater();
    },
    close: () => {
      cancelRecheck?.();
      stopListener();
    },
  };
}
