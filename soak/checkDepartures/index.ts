/**
 * Promise: an endpoint whose registration has ended, or announces its shutdown, receives no new requests, also when
 * the store has lost that since.
 */
import { hasFault } from '../createRecord/index.js';
import { groupItems } from '../groupItems/index.js';
import type {
  CallerAttempt,
  Check,
  EndpointDeparture,
  SoakBounds,
  SoakRecord,
} from '../types/index.js';

/** Faults after which a node may not know what it knew, or holds requests for long. */
const FORGETTING_FAULTS = ['freeze', 'kill', 'stop'];
/** Faults during which a node may not learn what the store accepts. */
const DEAFENING_FAULTS = [...FORGETTING_FAULTS, 'storeLink', 'reload'];

/** Fault after which a node is deaf until its contact time has passed, but no longer. */
const SILENCING_FAULTS = ['silence'];

/** Returns whether a node has learned of a departure, and may not have forgotten it at a later time. */
function hasNotice(
  { disturbances }: SoakRecord,
  node: string,
  { at }: EndpointDeparture,
  until: number,
  { noticeMilliseconds, contactMilliseconds }: SoakBounds,
): boolean {
  const span = { from: at - noticeMilliseconds, until: at + noticeMilliseconds };
  const contactSpan = { from: until - contactMilliseconds, until };
  if (hasFault(disturbances, { targets: [node], kinds: SILENCING_FAULTS, ...contactSpan }))
    return false;
  const isDeaf =
    hasFault(disturbances, { targets: [node], kinds: DEAFENING_FAULTS, ...span }) ||
    hasFault(disturbances, { targets: ['store'], ...span });
  const query = { targets: [node], kinds: FORGETTING_FAULTS, from: at, until };
  return !isDeaf && !hasFault(disturbances, query);
}

/** Checks that no request that a caller sent later reaches the endpoint through a node that knows. */
export const checkDepartures: Check = {
  promise: 'an endpoint that has left the registry gets nothing from a node that knows',
  count: ({ departures }) => departures.length,
  find: (record, bounds) => {
    const { drainMilliseconds } = bounds;
    const attempts = new Map<string, CallerAttempt>(
      record.attempts.map((attempt) => [attempt.attempt, attempt]),
    );
    const sends = groupItems(record.sends, ({ endpoint, birth }) => `${endpoint} ${birth}`);
    return record.departures.flatMap((departure) => {
      const { endpoint, birth, at } = departure;
      return (sends.get(`${endpoint} ${birth}`) ?? []).flatMap((send) => {
        const attempt = attempts.get(send.attempt);
        if (!attempt || attempt.sentAt <= at + drainMilliseconds) return [];
        const { node } = attempt;
        if (!hasNotice(record, node, departure, send.at, bounds)) return [];
        const detail = `${node} sent it to ${endpoint} ${Math.round(send.at - at)} ms after the store accepted its departure`;
        return [{ request: send.request, detail }];
      });
    });
  },
};
