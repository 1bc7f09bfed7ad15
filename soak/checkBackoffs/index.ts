/**
 * Promise: a node respects the backoff that an endpoint requested.
 */
import { hasFault } from '../createRecord/index.js';
import type { Check, RecordedBackoff, SoakRecord } from '../types/index.js';

/** Time after a backoff request in which requests that were already sent are not counted. */
const IN_FLIGHT_MILLISECONDS = 500;
/** Requests that one node may send before the end of the backoff. */
const MAXIMUM_REQUESTS = 2;
/** Faults of a node after which it may not know of the backoff request. */
const EXCUSING_FAULTS = ['freeze', 'kill', 'stop'];

function findNode(record: SoakRecord, attempt: string): string | undefined {
  return record.attempts.find((candidate) => candidate.attempt === attempt)?.node;
}

function listSends(record: SoakRecord, backoff: RecordedBackoff, node: string) {
  const nodeAttempts = new Set(
    record.attempts.filter((attempt) => attempt.node === node).map(({ attempt }) => attempt),
  );
  return record.sends.filter(
    ({ endpoint, birth, at, attempt }) =>
      endpoint === backoff.endpoint &&
      birth === backoff.birth &&
      at > backoff.at + IN_FLIGHT_MILLISECONDS &&
      at < backoff.at + backoff.milliseconds &&
      nodeAttempts.has(attempt),
  );
}

/** Checks that the node that received a backoff request sends no more than a few requests until its end. */
export const checkBackoffs: Check = {
  promise: 'an endpoint at rest gets nothing from a node that knows',
  count: ({ rests }) => rests.length,
  find: (record) =>
    record.rests.flatMap((backoff) => {
      const node = findNode(record, backoff.attempt);
      if (node === undefined) return [];
      const span = { from: backoff.at, until: backoff.at + backoff.milliseconds };
      const options = { targets: [node], kinds: EXCUSING_FAULTS, ...span };
      if (hasFault(record.disturbances, options)) return [];
      const sends = listSends(record, backoff, node);
      if (sends.length <= MAXIMUM_REQUESTS) return [];
      const detail = `${sends.length} requests of ${node} to ${backoff.endpoint} during its backoff`;
      return [{ request: sends[0]?.request, detail }];
    }),
};
