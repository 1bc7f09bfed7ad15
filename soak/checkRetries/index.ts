/**
 * Promise: nodes repeat requests within their budget.
 */
import type { Check, EndpointSend, SoakRecord } from '../types/index.js';

/** Sends of an attempt after its first. */
function listRepeats({ sends }: SoakRecord): EndpointSend[] {
  const seen = new Set<string>();
  return sends.filter(({ attempt }) => {
    if (seen.has(attempt)) return true;
    seen.add(attempt);
    return false;
  });
}

/** In each window, repeats are no more than a share of the attempts, and a few. */
export const checkRetries: Check = {
  promise: 'requests are repeated within the budget',
  count: ({ sends }) => sends.length,
  find: (record, { retryRatio, retrySlack, retryWindowMilliseconds }) => {
    const repeats = listRepeats(record).sort((left, right) => left.at - right.at);
    return repeats.flatMap((last) => {
      const isInWindow = (at: number): boolean =>
        at <= last.at && at > last.at - retryWindowMilliseconds;
      const own = repeats.filter(({ at }) => isInWindow(at)).length;
      const asked = record.attempts.filter(({ sentAt }) => isInWindow(sentAt)).length;
      const most = retrySlack + retryRatio * asked;
      if (own <= most) return [];
      return [{ request: last.request, detail: `${own} repeats of ${asked} attempts` }];
    });
  },
};
