/**
 * Promise: a refused request is not executed.
 */
import type { Check, SoakRecord } from '../types/index.js';

function listRefused({ attempts }: SoakRecord) {
  return attempts.filter(({ outcome }) => outcome === 'refused');
}

/** Checks that an attempt that was refused as not executed ran on no endpoint, before or after the refusal. */
export const checkRefusals: Check = {
  promise: 'a refused request has not run and never does',
  count: (record) => listRefused(record).length,
  find: (record) => {
    const runs = new Map(
      record.sends.filter(({ hasRun }) => hasRun).map((send) => [send.attempt, send]),
    );
    return listRefused(record).flatMap(({ request, attempt, status }) => {
      const run = runs.get(attempt);
      return run
        ? [{ request, detail: `refused with status ${status}, but ran at ${run.endpoint}` }]
        : [];
    });
  },
};
