/**
 * Record of the failures of endpoints on callers' requests.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import type { RelayContext } from '../types/index.js';

/**
 * Records that an endpoint failed a request; several consecutive failures eject it for a time.
 *
 * @param context - dependencies of the process
 * @param endpoint - the endpoint
 * @returns nothing
 * @example
 * recordFailure(context, endpoint);
 */
export function recordFailure(
  { endpoints, clock, logger }: Pick<RelayContext, 'endpoints' | 'clock' | 'logger'>,
  endpoint: Endpoint,
): void {
  const pauseMilliseconds = endpoints.recordFailure(endpoint, clock.now());
  if (pauseMilliseconds === 0) return;
  const { failures, record } = endpoint;
  logger.log('endpoint-ejected', { endpoint: record.id, failures, pauseMilliseconds });
}
