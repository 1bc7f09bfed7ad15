/**
 * Promise: an endpoint that says that it leaves gets no new requests.
 */
import { isDisturbed } from '../createRecord/index.js';
import type { CallerAttempt, Check, SoakRecord } from '../types/index.js';

/** Faults of a node after which it may know nothing of the answer. */
const EXCUSES = ['freeze', 'kill', 'stop'];

interface Passed {
  readonly node: string;
  readonly endpoint: string;
  readonly birth: number;
  readonly at: number;
}

/** When each node first passed on that an endpoint leaves. */
function listPassed(record: SoakRecord): Passed[] {
  const first = new Map<string, Passed>();
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

function isLate(attempt: CallerAttempt | undefined, passed: Passed, drain: number): boolean {
  return attempt?.node === passed.node && attempt.sentAt > passed.at + drain;
}

/** No request that a caller sent later reaches the endpoint through that node. */
export const checkLeaving: Check = {
  promise: 'a leaving endpoint gets nothing from a node that knows',
  count: (record) => listPassed(record).length,
  find: (record, { drainMilliseconds }) => {
    const attempts = new Map(record.attempts.map((attempt) => [attempt.attempt, attempt]));
    return listPassed(record).flatMap((passed) =>
      record.sends
        .filter(({ endpoint, birth }) => endpoint === passed.endpoint && birth === passed.birth)
        .filter(({ attempt }) => isLate(attempts.get(attempt), passed, drainMilliseconds))
        .filter(({ at }) => {
          const options = { targets: [passed.node], kinds: EXCUSES, from: passed.at, until: at };
          return !isDisturbed(record.disturbances, options);
        })
        .map(({ request, at }) => ({
          request,
          detail: `${passed.node} sent it to ${passed.endpoint} ${Math.round(at - passed.at)} ms after`,
        })),
    );
  },
};
