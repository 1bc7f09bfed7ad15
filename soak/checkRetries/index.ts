/**
 * Promise: nodes retry requests within their retry budget.
 */
import type { Check, EndpointSend, SoakRecord } from '../types/index.js';

/** Lists the sends of each attempt after its first one. */
function listRepeats({ sends }: SoakRecord): EndpointSend[] {
  const seen = new Set<string>();
  return sends.filter(({ attempt }) => {
    if (seen.has(attempt)) return true;
    seen.add(attempt);
    return false;
  });
}

/** Checks that in each window, repeated sends stay within a share of the attempts plus a fixed slack. */
export const checkRetries: Check = {
  promise: 'requests are repeated within the budget',
  count: ({ sends }) => sends.length,
  find: (record, { retryRatio, retrySlack, retryWindowMilliseconds }) => {
    const repeats = listRepeats(record).sort((left, right) => left.at - right.at);
    return repeats.flatMap((last) => {
      const isInWindow = (at: number): boolean =>
        at <= last.at && at > last.at - retryWindowMilliseconds;
      const repeatCount = repeats.filter(({ at }) => isInWindow(at)).length;
      const attemptCount = record.attempts.filter(({ sentAt }) => isInWindow(sentAt)).length;
      const limit = retrySlack + retryRatio * attemptCount;
      if (repeatCount <= limit) return [];
      return [
        {
          request: last.request,
          detail: `${repeatCount} repeated sends for ${attemptCount} attempts`,
        },
      ];
    });
  },
};
