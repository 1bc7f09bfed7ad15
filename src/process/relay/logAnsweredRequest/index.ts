/**
 * The end of the story of a request that was answered.
 */
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Times of an answer in milliseconds, and what it took. */
export interface AnsweredTimes {
  /** To the first event; to the answer where it has none. */
  readonly first: number;
  /** Mean and longest between events; 0 where there are none. */
  readonly pause: number;
  readonly longestPause: number;
  readonly sends: number;
  /** Later than the route allows. */
  readonly isSlow: boolean;
}

/** Share of the answers in time that are told. */
const LOGGED_SHARE = 0.05;

/**
 * Ends the story of an answered request, and tells it if it was slow or is sampled.
 *
 * @param context - services of the process
 * @param request - the request
 * @param times - its times in milliseconds
 * @returns nothing
 * @example
 * logAnsweredRequest(context, request, { first: 80, pause: 0, longestPause: 0, sends: 1, isSlow: false });
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
