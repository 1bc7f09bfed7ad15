/**
 * Failures of endpoints, as callers' requests met them.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import type { RelayContext } from '../types/index.js';

/**
 * Notes that an endpoint failed a request; after several in a row it is left alone for a time.
 *
 * @param context - services of the process
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
