/**
 * All promises that a soak run checks.
 */
import { checkResponses } from '../checkResponses/index.js';
import { checkCrashingParts, checkHarmlessParts } from '../checkCrashingParts/index.js';
import { checkCompletion } from '../checkCompletion/index.js';
import { checkRateLimits } from '../checkRateLimits/index.js';
import { checkLeaving } from '../checkLeaving/index.js';
import { checkPaths } from '../checkPaths/index.js';
import { checkDeaths } from '../checkDeaths/index.js';
import { checkOddEntries } from '../checkOddEntries/index.js';
import { checkExits, checkInternalErrors, checkLeaks } from '../checkProcesses/index.js';
import { checkRefusals } from '../checkRefusals/index.js';
import { checkBackoffs } from '../checkBackoffs/index.js';
import { checkRetries } from '../checkRetries/index.js';
import { checkBookings } from '../checkBookings/index.js';
import { checkRecovery } from '../checkRecovery/index.js';
import { checkPlannedStops } from '../checkPlannedStops/index.js';
import { checkDepartures } from '../checkDepartures/index.js';
import { checkRegistrations } from '../checkRegistrations/index.js';
import { checkReturn } from '../checkReturn/index.js';
import { checkUnframedEnds } from '../checkUnframedEnds/index.js';
import { checkVersions } from '../checkVersions/index.js';
import type { Check, SoakBounds, SoakRecord, Violation } from '../types/index.js';

/** The checks, in the order in which they are printed. */
export const CHECKS: readonly Check[] = [
  checkResponses,
  checkUnframedEnds,
  checkBookings,
  checkRefusals,
  checkCompletion,
  checkPaths,
  checkBackoffs,
  checkRateLimits,
  checkLeaving,
  checkDepartures,
  checkOddEntries,
  checkRetries,
  checkCrashingParts,
  checkHarmlessParts,
  checkPlannedStops,
  checkExits,
  checkInternalErrors,
  checkDeaths,
  checkLeaks,
  checkVersions,
  checkRegistrations,
  checkRecovery,
  checkReturn,
];

/**
 * Checks a record against all promises.
 *
 * @param record - observations of the run
 * @param bounds - limits of the promises
 * @returns the violations, in the order of the checks
 * @example
 * findViolations(record, bounds).length; // 0
 */
export function findViolations(record: SoakRecord, bounds: SoakBounds): Violation[] {
  return CHECKS.flatMap(({ promise, find }) =>
    find(record, bounds).map((violation) => ({ promise, ...violation })),
  );
}
