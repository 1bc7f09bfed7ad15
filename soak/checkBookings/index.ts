/**
 * Promise: a booking runs at most once, and exactly once if its caller receives a success response.
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

/** Checks that a booking runs at most once over all attempts of its request. */
export const checkBookings: Check = {
  promise: 'a booking runs once at most, and once where it is answered',
  count: (record) => groupItems(listBookings(record), getRequest).size,
  find: (record) => {
    const runs = groupItems(
      record.sends.filter(({ hasRun }) => hasRun),
      getRequest,
    );
    const bookings = groupItems(listBookings(record), getRequest);
    return [...bookings].flatMap(([request, attempts]) => {
      const requestRuns = runs.get(request) ?? [];
      const isAnswered = attempts.some(({ outcome }) => outcome === 'answered');
      if (requestRuns.length > 1)
        return [{ request, detail: `it ran at ${describeRuns(requestRuns)}` }];
      if (isAnswered && requestRuns.length === 0)
        return [{ request, detail: 'it was answered but did not run' }];
      return [];
    });
  },
};
