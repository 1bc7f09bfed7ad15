/**
 * End of the backoff that the endpoints of a service requested.
 */
import { isLeavingEndpoint, type Endpoint } from '../../connection/createEndpointTable/index.js';

/**
 * Finds the time until the first backoff ends among the endpoints of a service.
 *
 * Leaving endpoints are ignored, because no request is sent to them after their backoff.
 *
 * @param endpoints - endpoints that the node knows
 * @param service - name of the service
 * @param now - milliseconds on the node's clock
 * @returns the time until the first backoff ends in milliseconds, or undefined when no endpoint is in backoff
 * @example
 * findBackoffEnd(endpoints.list(), 'booking', clock.now()); // 1_800
 */
export function findBackoffEnd(
  endpoints: readonly Endpoint[],
  service: string,
  now: number,
): number | undefined {
  const ends = endpoints
    .filter((endpoint) => endpoint.record.service === service && !isLeavingEndpoint(endpoint))
    .map(({ backoffUntil }) => backoffUntil - now)
    .filter((remaining) => remaining > 0);
  return ends.length > 0 ? Math.min(...ends) : undefined;
}
