/**
 * Result code for the caller of a failed stream.
 */
import { MILLISECONDS_PER_SECOND } from '../../../constants/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';

/** State of a stream at its failure. */
export interface StreamFailureConditions {
  /** Whether an event was forwarded. */
  readonly hasBegun: boolean;
  /** Whether a run may have begun at an endpoint. */
  readonly mayHaveRun: boolean;
  /** Whether the deadline of the final response is reached. */
  readonly isTimeUp: boolean;
  /** Milliseconds until an endpoint that asked for fewer requests accepts one; undefined when there is none. */
  readonly retryMilliseconds?: number | undefined;
  /** Forecast of the milliseconds until the request has capacity; undefined without a forecast. */
  readonly forecastMilliseconds?: number | undefined;
  /** Time after which the caller of a blocked request may retry; undefined when it is not blocked. */
  readonly blockedSeconds?: number | undefined;
}

/** Result code, and the time after which the caller may retry. */
export interface StreamFailure {
  readonly code: ResultCodeName;
  readonly retryAfterSeconds?: number;
}

/** `Retry-After` when no path has enough free memory and there is no forecast, in seconds. */
const NO_MEMORY_RETRY_SECONDS = 0.5;

/**
 * Determines the result code of a failed stream.
 *
 * Only a request that was not and will not be executed gets a refusal, which the caller may retry.
 * Every other request gets the code of a failure or of an unknown outcome.
 *
 * @param conditions - the state of the stream at its failure
 * @returns the result code and the `Retry-After` in seconds
 * @example
 * decideStreamFailure({ hasBegun: false, mayHaveRun: false, isTimeUp: false }).code; // 'overloaded'
 */
export function decideStreamFailure(conditions: StreamFailureConditions): StreamFailure {
  if (conditions.hasBegun) return { code: 'interrupted' };
  if (!conditions.mayHaveRun && conditions.blockedSeconds !== undefined) {
    return { code: 'blocked', retryAfterSeconds: conditions.blockedSeconds };
  }
  if (!conditions.mayHaveRun) {
    const { forecastMilliseconds, retryMilliseconds = 0 } = conditions;
    const forecastSeconds =
      forecastMilliseconds === undefined
        ? NO_MEMORY_RETRY_SECONDS
        : forecastMilliseconds / MILLISECONDS_PER_SECOND;
    const retrySeconds = retryMilliseconds / MILLISECONDS_PER_SECOND;
    return { code: 'overloaded', retryAfterSeconds: Math.max(forecastSeconds, retrySeconds) };
  }
  return { code: conditions.isTimeUp ? 'outcomeUnknown' : 'endpointFailed' };
}
