/**
 * Place of one stream among the requests that wait for capacity, and the capacity that it reserves.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import { estimateTokens, type TokenEstimate } from '../../../request/estimateTokens/index.js';
import type { RunCounter } from '../createRunCounter/index.js';
import type { StreamPaths } from '../createStreamPaths/index.js';
import type { StreamResponse } from '../createStreamResponse/index.js';
import type { Refusal } from '../createWaitingRooms/index.js';
import { reserveMemory } from '../selectPath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link createStreamPlace}. */
export interface CreateStreamPlaceOptions {
  readonly context: Pick<RelayContext, 'waitingRooms'> & Parameters<typeof reserveMemory>[0];
  readonly request: RelayedRequest;
  readonly paths: Pick<StreamPaths, 'select' | 'wasDenied'>;
  readonly response: Pick<StreamResponse, 'getLastEventId' | 'hasBegun'>;
  /** Counter of the stream's runs; it does not wait once one may have begun. */
  readonly counter: Pick<RunCounter, 'mayHaveRun'>;
}

/** Place of one stream. */
export interface StreamPlace {
  /** Computes the size of what is left of the request. */
  readonly computeSize: () => TokenEstimate;
  /** Selects a path; undefined where there is none, or where others wait that are served first. */
  readonly select: () => ChosenPath | undefined;
  /** Returns whether the stream may wait for a path. */
  readonly mayWait: () => boolean;
  /** Waits for a path and reserves it; resolves to a refusal where none becomes free in time. */
  readonly wait: () => Promise<ChosenPath | Refusal>;
  /** Reserves a path for a run that begins; returns the function that releases it. */
  readonly reserve: (path: ChosenPath) => () => void;
  /** Gives up the place when the caller has its response or has disconnected. */
  readonly end: () => void;
}

/** Path that was reserved while the stream waited. */
interface Held {
  readonly path: ChosenPath;
  readonly release: () => void;
}

/**
 * Creates the place of one stream, and records that the stream arrived.
 *
 * @param options - dependencies of the process, the request, and the state of its runs
 * @returns the place
 * @example
 * const place = createStreamPlace(options);
 * const path = place.select() ?? (await place.wait());
 */
export function createStreamPlace(options: CreateStreamPlaceOptions): StreamPlace {
  const { context, request, paths, response, counter } = options;
  const { waitingRooms } = context;
  const end = new AbortController();
  let held: Held | undefined;
  const mayHaveRun = (): boolean => counter.mayHaveRun() || response.hasBegun();
  const computeSize = (): TokenEstimate =>
    estimateTokens({
      caller: request.caller,
      model: request.service.model,
      lastEventId: response.getLastEventId(),
    });
  const releaseHeld = (): void => {
    held?.release();
    held = undefined;
  };
  const reservePath = ({ hops }: ChosenPath): (() => void) =>
    reserveMemory(context, request, hops, computeSize().roomTokens);
  const takeHeld = (path: ChosenPath): (() => void) | undefined => {
    if (held?.path !== path) return undefined;
    const { release } = held;
    held = undefined;
    return release;
  };
  waitingRooms.recordArrival(request, computeSize());
  return {
    computeSize,
    select: () => {
      releaseHeld();
      const isBehind = !mayHaveRun() && waitingRooms.mustWait(request);
      return isBehind ? undefined : paths.select(computeSize());
    },
    // An endpoint that denied a permit is not asked again by the same request.
    mayWait: () => !mayHaveRun() && !paths.wasDenied() && waitingRooms.mayWait(request),
    wait: () =>
      waitingRooms.wait(request, {
        size: computeSize(),
        signal: end.signal,
        findPath: () => {
          const path = paths.select(computeSize());
          // Others may be admitted before the run of this one begins.
          held = path && { path, release: reservePath(path) };
          return path;
        },
      }),
    reserve: (path) => {
      const release = takeHeld(path) ?? reservePath(path);
      releaseHeld();
      const firstEvent = response.getLastEventId();
      const endRun = waitingRooms.beginRun(request, {
        size: computeSize(),
        pauseMilliseconds: path.pauseMilliseconds,
        countEvents: () => response.getLastEventId() - firstEvent,
      });
      return () => {
        release();
        endRun();
      };
    },
    end: () => {
      end.abort();
      releaseHeld();
    },
  };
}
