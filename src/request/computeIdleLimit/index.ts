/**
 * Idle time limits of a run.
 */
import type { ChosenPath } from '../choosePath/index.js';

/** Limits of the time without data, in milliseconds. */
export interface IdleLimits {
  /** Time after which the endpoints of the path are probed, and a run whose endpoint is known as lost is replaced. */
  readonly probe: number;
  /** Time after which a run is moved off an endpoint of its path that is already known as lost. */
  readonly move: number;
  /** Time after which the run is replaced if possible, although no endpoint is known to be unreachable. */
  readonly replaceWithoutLoss: number;
}

/** Limits before the first event, in milliseconds, and the factor on its predicted time. */
const FIRST_EVENT_LIMITS = {
  minimum: 200,
  maximum: 450,
  factor: 3,
  moveMinimum: 200,
  moveFactor: 3,
  replaceWithoutLoss: 1_500,
} as const;
/**
 * Limits between events, in milliseconds, and the factors on the predicted time between them. A run is moved sooner
 * than its endpoints are probed, since the new endpoints have to read its tokens before the caller notices the pause.
 */
const BETWEEN_EVENTS_LIMITS = {
  minimum: 110,
  maximum: 300,
  factor: 4,
  moveMinimum: 60,
  moveFactor: 2,
  replaceWithoutLoss: 1_700,
} as const;

/**
 * Computes the idle time limits from the predicted times of the path.
 *
 * @param path - the path of the run, if it has one
 * @param hasBegun - true when an event was forwarded to the caller
 * @returns the limits
 * @example
 * computeIdleLimit(path, true).move;
 */
export function computeIdleLimit(path: ChosenPath | undefined, hasBegun: boolean): IdleLimits {
  const limits = hasBegun ? BETWEEN_EVENTS_LIMITS : FIRST_EVENT_LIMITS;
  const { minimum, maximum, factor, moveMinimum, moveFactor, replaceWithoutLoss } = limits;
  const predicted = (hasBegun ? path?.pauseMilliseconds : path?.firstEventMilliseconds) ?? 0;
  return {
    probe: Math.min(maximum, Math.max(minimum, predicted * factor)),
    move: Math.min(maximum, Math.max(moveMinimum, predicted * moveFactor)),
    replaceWithoutLoss,
  };
}
