/**
 * When callers may come back to a service whose endpoints asked for rest.
 */
import { isLeavingEndpoint, type Endpoint } from '../../connection/createEndpointTable/index.js';

/**
 * Finds the end of the first rest among the endpoints of a service.
 *
 * Endpoints that are leaving do not count, since nothing is sent there after their rest.
 *
 * @param endpoints - endpoints that the node knows
 * @param service - name of the service
 * @param now - milliseconds on the node's clock
 * @returns milliseconds until the first rest ends, or undefined when none of them rests
 * @example
 * findRestEnd(endpoints.list(), 'booking', clock.now()); // 1_800
 */
export function findRestEnd(
  endpoints: readonly Endpoint[],
  service: string,
  now: number,
): number | undefined {
  const ends = endpoints
    .filter((endpoint) => endpoint.record.service === service && !isLeavingEndpoint(endpoint))
    .map(({ restsUntil }) => restsUntil - now)
    .filter((remaining) => remaining > 0);
  return ends.length > 0 ? Math.min(...ends) : undefined;
}
