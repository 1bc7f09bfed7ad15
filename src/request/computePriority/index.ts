/**
 * Effective priority of a request.
 */

const DEFAULT_PRIORITY = 5;
const MAXIMUM_PRIORITY = 9;

/**
 * Computes the effective priority of a request. Priority 0 is left to runs that continue a stream.
 *
 * @param routePriority - priority of the route; a lower number is more urgent
 * @param accountPriority - priority of the client account, which replaces the route's
 * @returns the priority from 1, the most urgent, to 9
 * @example
 * computePriority(2, undefined); // 3
 */
export function computePriority(
  routePriority: number,
  accountPriority: number | undefined,
): number {
  const priority = accountPriority ?? routePriority;
  return Math.min(MAXIMUM_PRIORITY, Number.isFinite(priority) ? 1 + priority : DEFAULT_PRIORITY);
}
