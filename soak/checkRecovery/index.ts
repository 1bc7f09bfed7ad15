/**
 * Promise: after all faults have ended, every node serves every kind of request.
 */
import type { Check, RequestKind, SoakRecord } from '../types/index.js';

const KINDS: readonly RequestKind[] = ['stream', 'lookUp', 'booking'];

function listAttemptsAfterFaults({ attempts, calmAt }: SoakRecord) {
  return calmAt === undefined ? [] : attempts.filter(({ sentAt }) => sentAt >= calmAt);
}

/** Checks that each node answers at least one request of each kind in the fault-free time at the end of the run. */
export const checkRecovery: Check = {
  promise: 'after all faults every node serves every kind of request',
  count: (record) => listAttemptsAfterFaults(record).length,
  find: (record) => {
    const attemptsAfterFaults = listAttemptsAfterFaults(record);
    const nodes = [...new Set(attemptsAfterFaults.map(({ node }) => node))];
    return nodes.flatMap((node) =>
      KINDS.filter(
        (kind) =>
          !attemptsAfterFaults.some(
            (attempt) =>
              attempt.node === node && attempt.kind === kind && attempt.outcome === 'answered',
          ),
      ).map((kind) => {
        const last = attemptsAfterFaults.findLast(
          (attempt) => attempt.node === node && attempt.kind === kind,
        );
        const detail = `${node} answered no ${kind} (last: ${last?.status ?? 'none sent'})`;
        return { request: last?.request, detail };
      }),
    );
  },
};
