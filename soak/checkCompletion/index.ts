/**
 * Promise: every request ends.
 */
import { hasFault } from '../createRecord/index.js';
import type { Check } from '../types/index.js';

/** Faults of a node or of its link to callers, during which no response can arrive. */
const EXCUSING_FAULTS = ['freeze', 'kill', 'link'];

/** Checks that no caller times out while its node and link are without injected faults. */
export const checkCompletion: Check = {
  promise: 'every request ends',
  count: ({ attempts }) => attempts.length,
  find: ({ attempts, disturbances }, { attemptMilliseconds }) =>
    attempts
      .filter(
        ({ outcome, sentAt, endedAt }) =>
          outcome === 'timedOut' || endedAt - sentAt > attemptMilliseconds,
      )
      .filter(
        ({ node, sentAt, endedAt }) =>
          !hasFault(disturbances, {
            targets: [node],
            kinds: EXCUSING_FAULTS,
            from: sentAt,
            until: endedAt,
          }),
      )
      .map(({ request, node, sentAt, endedAt }) => ({
        request,
        detail: `not completed by ${node} after ${Math.round(endedAt - sentAt)} ms`,
      })),
};
