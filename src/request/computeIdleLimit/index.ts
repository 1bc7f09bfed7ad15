/**
 * Idle time limits of a run.
 */
import type { ChosenPath } from '../choosePath/index.js';

/** Limits of the time without data, in milliseconds. */
export interface IdleLimits {
  /** Time after which the endpoints of the path are probed. */
  readonly probe: number;
  /** Time after which the run is replaced if possible, although no endpoint is known to be unreachable. */
  readonly replace: number;
}

/** Limits before the first event, in milliseconds, and the factor on its predicted time. */
const FIRST_EVENT_LIMITS = { minimum: 200, maximum: 450, factor: 3, replace: 1_500 } as const;
/** Limits between events, in milliseconds, and the factor on the predicted time between them. */
const BETWEEN_EVENTS_LIMITS = { minimum: 110, maximum: 300, factor: 4, replace: 1_700 } as const;

/**
 * Computes the idle time limits from the predicted times of the path.
 *
 * @param path - the path of the run, if it has one
 * @param hasBegun - true when an event was forwarded to the caller
 * @returns the limits
 * @example
 * computeIdleLimit(path, true).replace;
 */
export function computeIdleLimit(path: ChosenPath | undefined, hasBegun: boolean): IdleLimits {
  const { minimum, maximum, factor, replace } = hasBegun
    ? BETWEEN_EVENTS_LIMITS
    : FIRST_EVENT_LIMITS;
  const predicted = hasBegun ? path?.pauseMilliseconds : path?.firstEventMilliseconds;
  return { probe: Math.min(maximum, Math.max(minimum, (predicted ?? 0) * factor)), replace };
}
