/**
 * Promises about requests with parts that crash endpoints.
 */
import { hasFault } from '../createRecord/index.js';
import { groupItems } from '../groupItems/index.js';
import { isCrashingPart } from '../readEndpointRequest/index.js';
import type { Check, EndpointSend, SoakBounds, SoakRecord } from '../types/index.js';

/** Faults after which a node may have to learn again which parts are known. */
const EXCUSING_FAULTS = ['freeze', 'kill', 'stop'];
/** Crashes of one request's own after which it may be refused, whatever its parts are. */
const CRASHES_OF_REQUEST = 2;
const BLOCKED_CODE = '"code":1512';

function isExcused(record: SoakRecord, send: EndpointSend, contactMilliseconds: number): boolean {
  const node = record.attempts.find(({ attempt }) => attempt === send.attempt)?.node;
  const from = send.at - contactMilliseconds;
  const query = { targets: [node ?? ''], kinds: EXCUSING_FAULTS, from, until: send.at };
  return node === undefined || hasFault(record.disturbances, query);
}

function listKnownSends(record: SoakRecord, part: string, bounds: SoakBounds): EndpointSend[] {
  const { crashesUntilKnown, contactMilliseconds } = bounds;
  const crashes = record.crashes.filter((crash) => crash.part === part);
  const decisive = crashes[crashesUntilKnown - 1];
  if (!decisive) return [];
  const knownAt = decisive.at + contactMilliseconds;
  return record.sends.filter(
    (send) =>
      send.at > knownAt &&
      send.parts.includes(part) &&
      !isExcused(record, send, contactMilliseconds),
  );
}

/** Checks that few requests reach endpoints with a part that has crashed several. */
export const checkCrashingParts: Check = {
  promise: 'a part that crashes endpoints does not reach one after another',
  count: ({ crashes }) => crashes.length,
  find: (record, bounds) =>
    [...new Set(record.crashes.map(({ part }) => part))].flatMap((part) => {
      const sends = listKnownSends(record, part, bounds);
      if (sends.length <= bounds.maximumKnownSends) return [];
      const detail = `${sends.length} requests with ${part} reached endpoints after it was known`;
      return [{ request: sends[0]?.request, detail }];
    }),
};

/** Checks that no request is blocked that has no such part and ended no endpoints itself. */
export const checkHarmlessParts: Check = {
  promise: 'a request without a part that crashes endpoints is not blocked',
  count: ({ attempts }) => attempts.filter(({ parts }) => parts.length > 0).length,
  find: ({ attempts, sends }) => {
    const sendsByRequest = groupItems(sends, ({ request }) => request);
    return attempts
      .filter(({ body, parts }) => body.includes(BLOCKED_CODE) && !parts.some(isCrashingPart))
      .filter(({ request }) => (sendsByRequest.get(request)?.length ?? 0) < CRASHES_OF_REQUEST)
      .map(({ request, attempt }) => ({ request, detail: `attempt ${attempt} was blocked` }));
  },
};
