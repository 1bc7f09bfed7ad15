/**
 * All promises that a soak run checks.
 */
import { checkAnswers } from '../checkAnswers/index.js';
import { checkEndings } from '../checkEndings/index.js';
import { checkLeaving } from '../checkLeaving/index.js';
import { checkPaths } from '../checkPaths/index.js';
import { checkEnds, checkLeaks } from '../checkProcesses/index.js';
import { checkRefusals } from '../checkRefusals/index.js';
import { checkRests } from '../checkRests/index.js';
import { checkRetries } from '../checkRetries/index.js';
import { checkRuns } from '../checkRuns/index.js';
import { checkService } from '../checkService/index.js';
import { checkStops } from '../checkStops/index.js';
import { checkVersions } from '../checkVersions/index.js';
import type { Check, SoakBounds, SoakRecord, Violation } from '../types/index.js';

/** The checks, in the order in which they are printed. */
export const CHECKS: readonly Check[] = [
  checkAnswers,
  checkRuns,
  checkRefusals,
  checkEndings,
  checkPaths,
  checkRests,
  checkLeaving,
  checkRetries,
  checkStops,
  checkEnds,
  checkLeaks,
  checkVersions,
  checkService,
];

/**
 * Checks a record against all promises.
 *
 * @param record - what was observed
 * @param bounds - times and counts of the promises
 * @returns the promises that were broken
 * @example
 * findViolations(record, bounds).length; // 0
 */
export function findViolations(record: SoakRecord, bounds: SoakBounds): Violation[] {
  return CHECKS.flatMap(({ promise, find }) =>
    find(record, bounds).map((violation) => ({ promise, ...violation })),
  );
}
