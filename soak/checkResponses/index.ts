/**
 * Promise: a response is complete and correct, and belongs to its request.
 */
import { formatResponse, readEvents } from '../readEvents/index.js';
import type { CallerAttempt, Check, SoakBounds } from '../types/index.js';

function findStreamError(attempt: CallerAttempt, events: number): string | undefined {
  const { last, error, isTruncated } = readEvents(attempt.body, attempt.request, attempt.lastEvent);
  if (error !== undefined) return error;
  if (attempt.outcome !== 'answered') return undefined;
  if (isTruncated) return 'the last event is incomplete';
  return last === events
    ? undefined
    : `${last} of ${events} events in a response that ended normally`;
}

function findError(attempt: CallerAttempt, { events }: SoakBounds): string | undefined {
  if (attempt.status !== 200) return undefined;
  if (attempt.kind === 'stream') return findStreamError(attempt, events);
  const expected = formatResponse(attempt.request);
  const isComplete = attempt.outcome === 'answered';
  const isValid = isComplete ? attempt.body === expected : expected.startsWith(attempt.body);
  return isValid
    ? undefined
    : `unexpected response body ${JSON.stringify(attempt.body.slice(0, 120))}`;
}

/** Checks that a complete response has each event once and in order, and a truncated one a prefix of them. */
export const checkResponses: Check = {
  promise: 'an answer is whole, correct and its own',
  count: ({ attempts }) => attempts.filter(({ status }) => status === 200).length,
  find: ({ attempts }, bounds) =>
    attempts.flatMap((attempt) => {
      const detail = findError(attempt, bounds);
      return detail === undefined ? [] : [{ request: attempt.request, detail }];
    }),
};
