/**
 * Promise: nodes together keep to the rate limit that an endpoint announces.
 */
import { hasFault } from '../createRecord/index.js';
import type { AnnouncedLimit, Check, EndpointSend, SoakRecord } from '../types/index.js';

const WINDOW_MILLISECONDS = 4_000;
/** Requests in a window: a factor on the announced number, and a number beyond that. */
const TOLERANCE = { factor: 1.5, requests: 5 } as const;
/** Faults of a node after which it may not know of the limit. */
const EXCUSING_FAULTS = ['freeze', 'kill', 'stop'];

/** Lists the sends to the endpoint of nodes that have to know the limit. */
function listSends(record: SoakRecord, limit: AnnouncedLimit, knownAt: number): EndpointSend[] {
  const nodes = new Map(record.attempts.map(({ attempt, node }) => [attempt, node]));
  return record.sends.filter(({ endpoint, birth, at, attempt }) => {
    const isLimited = endpoint === limit.endpoint && birth === limit.birth;
    if (!isLimited || at < knownAt || at > limit.until) return false;
    const node = nodes.get(attempt);
    const query = { from: limit.from, until: at, kinds: EXCUSING_FAULTS };
    return node !== undefined && !hasFault(record.disturbances, { targets: [node], ...query });
  });
}

/** Finds the first window that holds more sends than allowed; returns its sends. */
function findExcess(sends: readonly EndpointSend[], allowed: number): readonly EndpointSend[] {
  let first = 0;
  for (const [index, { at }] of sends.entries()) {
    while (at - (sends[first]?.at ?? at) >= WINDOW_MILLISECONDS) first += 1;
    if (index - first + 1 > allowed) return sends.slice(first, index + 1);
  }
  return [];
}

/** Checks that an endpoint gets no more than it tolerates, once all nodes can know its limit. */
export const checkRateLimits: Check = {
  promise: 'an endpoint with a rate limit gets no more than that from all nodes',
  count: ({ limits }) => limits.length,
  find: (record, { contactMilliseconds }) =>
    record.limits.flatMap((limit) => {
      const announced = limit.requestsPerSecond * (WINDOW_MILLISECONDS / 1_000);
      const allowed = TOLERANCE.factor * announced + TOLERANCE.requests;
      const sends = listSends(record, limit, limit.from + contactMilliseconds);
      const excess = findExcess(sends, allowed);
      if (excess.length === 0) return [];
      const detail = `${excess.length} requests to ${limit.endpoint} in 4 s, ${allowed} allowed`;
      return [{ request: excess.at(-1)?.request, detail }];
    }),
};
