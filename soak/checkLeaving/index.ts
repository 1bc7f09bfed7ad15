/**
 * Promise: an endpoint that announced its shutdown receives no new requests.
 */
import { hasFault } from '../createRecord/index.js';
import type { CallerAttempt, Check, SoakRecord } from '../types/index.js';

/** Faults of a node after which it may not know of the response. */
const EXCUSING_FAULTS = ['freeze', 'kill', 'stop'];

interface LeavingNotice {
  readonly node: string;
  readonly endpoint: string;
  readonly birth: number;
  readonly at: number;
}

/** Lists when each node first forwarded a response which says that an endpoint is leaving. */
function listLeavingNotices(record: SoakRecord): LeavingNotice[] {
  const first = new Map<string, LeavingNotice>();
  for (const { node, attempt, saysLeaving, headAt, endpoint } of record.attempts) {
    if (!saysLeaving || headAt === undefined || endpoint === undefined) continue;
    const send = record.sends.find(
      (candidate) => candidate.attempt === attempt && candidate.endpoint === endpoint,
    );
    if (!send) continue;
    const { birth } = send;
    const key = `${node} ${endpoint} ${birth}`;
    const known = first.get(key);
    if (!known || known.at > headAt) first.set(key, { node, endpoint, birth, at: headAt });
  }
  return [...first.values()];
}

function isAfterDrain(
  attempt: CallerAttempt | undefined,
  notice: LeavingNotice,
  drainMilliseconds: number,
): boolean {
  return attempt?.node === notice.node && attempt.sentAt > notice.at + drainMilliseconds;
}

/** Checks that no request that a caller sent later reaches the endpoint through that node. */
export const checkLeaving: Check = {
  promise: 'a leaving endpoint gets nothing from a node that knows',
  count: (record) => listLeavingNotices(record).length,
  find: (record, { drainMilliseconds }) => {
    const attempts = new Map(record.attempts.map((attempt) => [attempt.attempt, attempt]));
    return listLeavingNotices(record).flatMap((notice) =>
      record.sends
        .filter(({ endpoint, birth }) => endpoint === notice.endpoint && birth === notice.birth)
        .filter(({ attempt }) => isAfterDrain(attempts.get(attempt), notice, drainMilliseconds))
        .filter(({ at }) => {
          const options = {
            targets: [notice.node],
            kinds: EXCUSING_FAULTS,
            from: notice.at,
            until: at,
          };
          return !hasFault(record.disturbances, options);
        })
        .map(({ request, at }) => ({
          request,
          detail: `${notice.node} sent it to ${notice.endpoint} ${Math.round(at - notice.at)} ms after the shutdown notice`,
        })),
    );
  },
};
