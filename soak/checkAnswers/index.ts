/**
 * Promise: an answer is whole and correct, and belongs to its request.
 */
import { formatAnswer, readEvents } from '../describeStream/index.js';
import type { CallerAttempt, Check, SoakBounds } from '../types/index.js';

function findStreamFault(attempt: CallerAttempt, events: number): string | undefined {
  const { last, fault, isCutOff } = readEvents(attempt.body, attempt.request, attempt.lastEvent);
  if (fault !== undefined) return fault;
  if (attempt.outcome !== 'answered') return undefined;
  if (isCutOff) return 'the last event is not whole';
  return last === events ? undefined : `${last} of ${events} events, and the answer ended as whole`;
}

function findFault(attempt: CallerAttempt, { events }: SoakBounds): string | undefined {
  if (attempt.status !== 200) return undefined;
  if (attempt.kind === 'stream') return findStreamFault(attempt, events);
  const wanted = formatAnswer(attempt.request);
  const isWhole = attempt.outcome === 'answered';
  const isSound = isWhole ? attempt.body === wanted : wanted.startsWith(attempt.body);
  return isSound ? undefined : `the answer is ${JSON.stringify(attempt.body.slice(0, 120))}`;
}

/** Each whole answer holds each of its events once and in order; each broken one a part of them. */
export const checkAnswers: Check = {
  promise: 'an answer is whole, correct and its own',
  count: ({ attempts }) => attempts.filter(({ status }) => status === 200).length,
  find: ({ attempts }, bounds) =>
    attempts.flatMap((attempt) => {
      const detail = findFault(attempt, bounds);
      return detail === undefined ? [] : [{ request: attempt.request, detail }];
    }),
};
