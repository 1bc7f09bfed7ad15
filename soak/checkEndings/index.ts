/**
 * Promise: every request ends.
 */
import { isDisturbed } from '../createRecord/index.js';
import type { Check } from '../types/index.js';

/** Faults of a node or of its link to callers, under which no answer can come. */
const EXCUSES = ['freeze', 'kill', 'link'];

/** A caller whose node and link are sound never has to give up. */
export const checkEndings: Check = {
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
          !isDisturbed(disturbances, {
            targets: [node],
            kinds: EXCUSES,
            from: sentAt,
            until: endedAt,
          }),
      )
      .map(({ request, node, sentAt, endedAt }) => ({
        request,
        detail: `no end at ${node} after ${Math.round(endedAt - sentAt)} ms`,
      })),
};
