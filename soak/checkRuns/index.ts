/**
 * Promise: what may run once runs at most once, and exactly once where the caller is told so.
 */
import { groupItems } from '../groupItems/index.js';
import type { CallerAttempt, Check, EndpointSend, SoakRecord } from '../types/index.js';

function getRequest({ request }: { readonly request: string }): string {
  return request;
}

function listBookings({ attempts }: SoakRecord): CallerAttempt[] {
  return attempts.filter(({ kind }) => kind === 'booking');
}

function describeRuns(runs: readonly EndpointSend[]): string {
  return runs.map(({ endpoint, attempt }) => `${endpoint} (${attempt})`).join(', ');
}

/** Bookings, over all attempts of a request, run once at most. */
export const checkRuns: Check = {
  promise: 'a booking runs once at most, and once where it is answered',
  count: (record) => groupItems(listBookings(record), getRequest).size,
  find: (record) => {
    const runs = groupItems(
      record.sends.filter(({ hasRun }) => hasRun),
      getRequest,
    );
    const bookings = groupItems(listBookings(record), getRequest);
    return [...bookings].flatMap(([request, attempts]) => {
      const own = runs.get(request) ?? [];
      const isAnswered = attempts.some(({ outcome }) => outcome === 'answered');
      if (own.length > 1) return [{ request, detail: `it ran at ${describeRuns(own)}` }];
      if (isAnswered && own.length === 0)
        return [{ request, detail: 'it was answered and did not run' }];
      return [];
    });
  },
};
