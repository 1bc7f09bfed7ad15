/**
 * How long a run may stay silent.
 */
import type { ChosenPath } from '../choosePath/index.js';

/** Limits on one silence, in milliseconds. */
export interface IdleLimits {
  /** After this, the endpoints of the path are asked. */
  readonly ask: number;
  /** After this, the run is replaced, if it can be, although no endpoint is known to be lost. */
  readonly replace: number;
}

/** Limits before the first event, in milliseconds, and the factor on its predicted time. */
const FIRST = { minimum: 200, maximum: 450, factor: 3, replace: 1_500 } as const;
/** Limits between events, in milliseconds, and the factor on their predicted pause. */
const BETWEEN = { minimum: 110, maximum: 300, factor: 4, replace: 1_700 } as const;

/**
 * Computes the limits of a silence from the path's predicted times.
 *
 * @param path - the path of the run, if it has one
 * @param hasBegun - whether an event was passed on
 * @returns the limits
 * @example
 * limitSilence(path, true).ask;
 */
export function limitSilence(path: ChosenPath | undefined, hasBegun: boolean): IdleLimits {
  const { minimum, maximum, factor, replace } = hasBegun ? BETWEEN : FIRST;
  const predicted = hasBegun ? path?.pauseMilliseconds : path?.firstEventMilliseconds;
  return { ask: Math.min(maximum, Math.max(minimum, (predicted ?? 0) * factor)), replace };
}
