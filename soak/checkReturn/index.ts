/**
 * Promise: after all faults have ended, every endpoint of look-ups and bookings that was in use is in use again.
 *
 * Streams reach endpoints that hold the first layers; which ones do is the nodes' choice.
 */
import type { Check, SoakRecord } from '../types/index.js';

/** Lists the endpoints that received requests and are to run at the end of the run. */
function listLastingEndpoints({ sends, restorations, disturbances }: SoakRecord): string[] {
  if (restorations.length === 0) return [];
  const replacing = new Set(
    disturbances.filter(({ kind }) => kind === 'replacing').map(({ target }) => target),
  );
  const reached = sends.filter(({ kind }) => kind !== 'stream').map(({ endpoint }) => endpoint);
  return [...new Set(reached)].filter((id) => !replacing.has(id));
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
