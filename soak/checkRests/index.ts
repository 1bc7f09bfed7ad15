/**
 * Promise: an endpoint that asked for rest gets it.
 */
import { isDisturbed } from '../createRecord/index.js';
import type { Check, RestDemand, SoakRecord } from '../types/index.js';

/** Time after the demand in which requests that are on their way still count for nothing. */
const UNDER_WAY_MILLISECONDS = 500;
/** Requests that may come from one node before the end of the rest. */
const MOST_REQUESTS = 2;
/** Faults of a node after which it may know nothing of the demand. */
const EXCUSES = ['freeze', 'kill', 'stop'];

function findNode(record: SoakRecord, attempt: string): string | undefined {
  return record.attempts.find((candidate) => candidate.attempt === attempt)?.node;
}

function listSends(record: SoakRecord, rest: RestDemand, node: string) {
  const own = new Set(
    record.attempts.filter((attempt) => attempt.node === node).map(({ attempt }) => attempt),
  );
  return record.sends.filter(
    ({ endpoint, birth, at, attempt }) =>
      endpoint === rest.endpoint &&
      birth === rest.birth &&
      at > rest.at + UNDER_WAY_MILLISECONDS &&
      at < rest.at + rest.milliseconds &&
      own.has(attempt),
  );
}

/** Nearly nothing comes from the node that was told of the rest, until its end. */
export const checkRests: Check = {
  promise: 'an endpoint at rest gets nothing from a node that knows',
  count: ({ rests }) => rests.length,
  find: (record) =>
    record.rests.flatMap((rest) => {
      const node = findNode(record, rest.attempt);
      if (node === undefined) return [];
      const span = { from: rest.at, until: rest.at + rest.milliseconds };
      const options = { targets: [node], kinds: EXCUSES, ...span };
      if (isDisturbed(record.disturbances, options)) return [];
      const sends = listSends(record, rest, node);
      if (sends.length <= MOST_REQUESTS) return [];
      const detail = `${sends.length} requests of ${node} to ${rest.endpoint} at rest`;
      return [{ request: sends[0]?.request, detail }];
    }),
};
