/**
 * Promise: a response without framing that its endpoint did not finish does not look complete.
 */
import { formatResponse, readEvents } from '../readEvents/index.js';
import type { CallerAttempt, Check, SoakBounds } from '../types/index.js';

/** Returns whether a response with status 200 contains all that an endpoint sends. */
function isWhole({ kind, body, request, lastEvent }: CallerAttempt, events: number): boolean {
  if (kind !== 'stream') return body === formatResponse(request);
  const { last, isTruncated } = readEvents(body, request, lastEvent);
  return last === events && !isTruncated;
}

function looksComplete({ outcome, status }: CallerAttempt): boolean {
  return outcome === 'answered' && status === 200;
}

/** Checks requests whose response ended before its endpoint had sent all of it. */
export const checkUnframedEnds: Check = {
  promise: 'an answer that its endpoint did not finish does not look whole',
  count: ({ unfinished }) => unfinished.length,
  find: ({ attempts, unfinished }, { events }: SoakBounds) => {
    const requests = new Set(unfinished.map(({ request }) => request));
    return attempts
      .filter((attempt) => requests.has(attempt.request) && looksComplete(attempt))
      .filter((attempt) => !isWhole(attempt, events))
      .map(({ request, node, body }) => ({
        request,
        detail: `${node} completed a response that its endpoint had not finished: ${JSON.stringify(body.slice(-60))}`,
      }));
  },
};
