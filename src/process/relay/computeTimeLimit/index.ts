/**
 * Time within which a request gets its final response.
 */
import type { RequestMetadata } from '../../../types/relay/index.js';
import type { SiteRoute } from '../../../types/site/index.js';

/** Time between the final response and the caller's deadline, in milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 30;

/**
 * Computes the time limit of a request from its arrival on.
 *
 * @param route - the route, whose timeout limits each request
 * @param caller - the request's metadata, which may hold a shorter deadline
 * @returns the limit in milliseconds
 * @example
 * computeTimeLimit({ timeoutMilliseconds: 900 }, { deadlineMilliseconds: 500 }); // 470
 */
export function computeTimeLimit(
  { timeoutMilliseconds }: Pick<SiteRoute, 'timeoutMilliseconds'>,
  { deadlineMilliseconds }: Pick<RequestMetadata, 'deadlineMilliseconds'>,
): number {
  const requested = deadlineMilliseconds ?? timeoutMilliseconds;
  return Math.min(timeoutMilliseconds, requested - DEADLINE_MARGIN_MILLISECONDS);
}
