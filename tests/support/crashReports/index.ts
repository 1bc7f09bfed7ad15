/**
 * Reports of crashes for tests.
 */
import type { CrashReport } from '../../../src/types/breaker/index.js';

let count = 0;

/** Creates a report of a crash of another endpoint by another request; times in milliseconds. */
export function createCrashReport(
  at: number,
  shared: readonly string[],
  changes: Partial<CrashReport> = {},
): CrashReport {
  count += 1;
  return {
    endpoint: `i-${count}`,
    startedAt: 1,
    address: `10.0.0.${count}:80`,
    attempt: `attempt-${count}`,
    parts: [...shared, `last-${count}`, `own-${count}`],
    sentAt: at - 50,
    at,
    ...changes,
  };
}
