/**
 * What a caller is told when its stream fails.
 */
import { MILLISECONDS_PER_SECOND } from '../../../constants/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';

/** What is known of a stream that failed. */
export interface StreamFailureConditions {
  /** An event was passed on. */
  readonly hasBegun: boolean;
  /** A run may have begun at an endpoint. */
  readonly mayHaveRun: boolean;
  /** The final answer is due. */
  readonly isTimeUp: boolean;
  /** Milliseconds until the first endpoint that asked for rest takes requests again, if one did. */
  readonly backoffMilliseconds?: number | undefined;
}

/** Result code, and when the caller may come back. */
export interface StreamFailure {
  readonly code: ResultCodeName;
  readonly retryAfterSeconds?: number;
}

/** When callers may come back if no path has room, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 0.5;

/**
 * Decides the code of a failed stream.
 *
 * Only a request that has not run and never will is refused; all else is told as failed or unknown.
 *
 * @param conditions - how far the stream came
 * @returns the code
 * @example
 * decideStreamFailure({ hasBegun: false, mayHaveRun: false, isTimeUp: false }).code; // 'overloaded'
 */
export function decideStreamFailure(conditions: StreamFailureConditions): StreamFailure {
  if (conditions.hasBegun) return { code: 'interrupted' };
  if (!conditions.mayHaveRun) {
    const backoffSeconds = (conditions.backoffMilliseconds ?? 0) / MILLISECONDS_PER_SECOND;
    return {
      code: 'overloaded',
      retryAfterSeconds: Math.max(NO_MEMORY_RETRY_SECONDS, backoffSeconds),
    };
  }
  return { code: conditions.isTimeUp ? 'outcomeUnknown' : 'endpointFailed' };
}
