/**
 * Promise: a refusal is true.
 */
import type { Check, SoakRecord } from '../types/index.js';

function listRefused({ attempts }: SoakRecord) {
  return attempts.filter(({ outcome }) => outcome === 'refused');
}

/** An attempt that was refused as not run ran nowhere, then or later. */
export const checkRefusals: Check = {
  promise: 'a refused request has not run and never does',
  count: (record) => listRefused(record).length,
  find: (record) => {
    const runs = new Map(
      record.sends.filter(({ hasRun }) => hasRun).map((send) => [send.attempt, send]),
    );
    return listRefused(record).flatMap(({ request, attempt, status }) => {
      const run = runs.get(attempt);
      return run ? [{ request, detail: `${status}, and it ran at ${run.endpoint}` }] : [];
    });
  },
};
