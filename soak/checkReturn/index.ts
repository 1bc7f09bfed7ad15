/**
 * Promise: after all faults have ended, every endpoint of look-ups and bookings that was in use is in use again.
 *
 * Streams reach endpoints that hold the first layers; which ones do is the nodes' choice. So is whether they prefer other
 * endpoints to one that has failed without a new start.
 */
import type { Check, SoakRecord } from '../types/index.js';

/** Faults of an endpoint that end with a new start, at which nodes know nothing of its failures. */
const RESTARTING_FAULTS = ['crash', 'leaving'];

/** Lists the endpoints that received requests, and that have no failures when the run ends. */
function listLastingEndpoints({ sends, restorations, disturbances }: SoakRecord): string[] {
  if (restorations.length === 0) return [];
  const failed = new Set(
    disturbances
      .filter(({ kind }) => !RESTARTING_FAULTS.includes(kind))
      .map(({ target }) => target),
  );
  const reached = sends.filter(({ kind }) => kind !== 'stream').map(({ endpoint }) => endpoint);
  return [...new Set(reached)].filter((id) => !failed.has(id));
}

/** Checks that each endpoint receives requests in the fault-free time of a run in which the store was restored. */
export const checkReturn: Check = {
  promise: 'an endpoint that lives receives requests again after the store was restored',
  count: (record) => (record.calmAt === undefined ? 0 : listLastingEndpoints(record).length),
  find: (record) => {
    const { calmAt, sends } = record;
    if (calmAt === undefined) return [];
    const reached = new Set(sends.filter(({ at }) => at >= calmAt).map(({ endpoint }) => endpoint));
    return listLastingEndpoints(record)
      .filter((endpoint) => !reached.has(endpoint))
      .map((endpoint) => ({
        request: undefined,
        detail: `${endpoint} received no request after all faults`,
      }));
  },
};
