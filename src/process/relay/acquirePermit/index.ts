/**
 * Permit of a request for an endpoint with a rate limit, with its log line and its counter.
 */
import type { EndpointRecord } from '../../../types/site/index.js';
import type { RateLimit } from '../../../types/rateLimit/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link acquirePermit}. */
export interface AcquirePermitOptions {
  readonly endpoint: EndpointRecord;
  readonly limit: RateLimit;
  readonly maximumWaitMilliseconds: number;
}

/**
 * Asks for the permit to send a request to an endpoint.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param options - the endpoint, its limit, and the wait limit in milliseconds
 * @returns whether the request may be sent now
 * @example
 * await acquirePermit(context, request, { endpoint, limit, maximumWaitMilliseconds: 500 });
 */
export async function acquirePermit(
  { permits, clock, metrics }: Pick<RelayContext, 'permits' | 'clock' | 'metrics'>,
  { log }: Pick<RelayedRequest, 'log'>,
  { endpoint, limit, maximumWaitMilliseconds }: AcquirePermitOptions,
): Promise<boolean> {
  const askedAt = clock.now();
  const permit = await permits.acquire(endpoint, limit, maximumWaitMilliseconds);
  const { isGranted, waitMilliseconds, origin } = permit;
  metrics.count(isGranted ? 'granted_permits' : 'denied_permits', origin);
  log.add(isGranted ? 'permit-granted' : 'permit-denied', {
    endpoint: endpoint.id,
    requestsPerSecond: limit.requestsPerSecond,
    limitAge: Math.round(askedAt - limit.heardAt),
    waited: Math.round(clock.now() - askedAt),
    waitMilliseconds: Math.round(waitMilliseconds),
    origin,
  });
  return isGranted;
}
