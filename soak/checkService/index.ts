/**
 * Promise: when faults are over, every node serves every kind of request.
 */
import type { Check, RequestKind, SoakRecord } from '../types/index.js';

const KINDS: readonly RequestKind[] = ['stream', 'lookUp', 'booking'];

function listCalm({ attempts, calmAt }: SoakRecord) {
  return calmAt === undefined ? [] : attempts.filter(({ sentAt }) => sentAt >= calmAt);
}

/** Of each kind, a node answers at least one request in the calm at the end. */
export const checkService: Check = {
  promise: 'after all faults every node serves every kind of request',
  count: (record) => listCalm(record).length,
  find: (record) => {
    const calm = listCalm(record);
    const nodes = [...new Set(calm.map(({ node }) => node))];
    return nodes.flatMap((node) =>
      KINDS.filter(
        (kind) =>
          !calm.some(
            (attempt) =>
              attempt.node === node && attempt.kind === kind && attempt.outcome === 'answered',
          ),
      ).map((kind) => {
        const last = calm.findLast((attempt) => attempt.node === node && attempt.kind === kind);
        const detail = `${node} answered no ${kind} (last: ${last?.status ?? 'none sent'})`;
        return { request: last?.request, detail };
      }),
    );
  },
};
