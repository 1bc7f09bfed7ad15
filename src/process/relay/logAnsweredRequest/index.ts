/**
 * Log of a request that was answered.
 */
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Times of a response in milliseconds, and the number of sends. */
export interface AnsweredTimes {
  /** Time to the first event, or to the response when it has no events. */
  readonly first: number;
  /** Mean time between events; 0 when there are none. */
  readonly pause: number;
  /** Longest time between events; 0 when there are none. */
  readonly longestPause: number;
  readonly sends: number;
  /** Whether a time exceeds the limit of the route. */
  readonly isSlow: boolean;
}

/** Share of the responses in time that are logged. */
const LOGGED_SHARE = 0.05;

/**
 * Ends the log of an answered request; writes it when the response was slow, or as a sample.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param times - the times of the response in milliseconds
 * @returns nothing
 * @example
 * const times = { first: 80, pause: 0, longestPause: 0, sends: 1, isSlow: false };
 * logAnsweredRequest(context, request, times);
 */
export function logAnsweredRequest(
  { clock, random }: Pick<RelayContext, 'clock' | 'random'>,
  { arrivedAt, log }: Pick<RelayedRequest, 'arrivedAt' | 'log'>,
  times: AnsweredTimes,
): void {
  const { first, pause, longestPause, sends, isSlow } = times;
  log.add('request-answered', {
    milliseconds: Math.round(clock.now() - arrivedAt),
    first: Math.round(first),
    pause: Math.round(pause),
    longestPause: Math.round(longestPause),
    sends,
    told: isSlow ? 'slow' : 'sample',
  });
  log.end(isSlow || random() < LOGGED_SHARE);
}
