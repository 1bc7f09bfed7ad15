/**
 * Time after which an endpoint of a service accepts requests again.
 */
import { isLeavingEndpoint, type Endpoint } from '../../connection/createEndpointTable/index.js';

/** Options of {@link findRetryTime}. */
export interface FindRetryTimeOptions {
  /** Endpoints that the node knows. */
  readonly endpoints: readonly Endpoint[];
  /** Name of the service. */
  readonly service: string;
  /** Estimates the time until an endpoint with a rate limit accepts a request, in milliseconds. */
  readonly estimateWait: (endpoint: Endpoint['record']) => number;
  /** Milliseconds on the node's clock. */
  readonly now: number;
}

/**
 * Finds the time until the first endpoint that asked for fewer requests accepts one again: at the end of the backoff
 * that it requested, or when its rate limit allows it.
 *
 * Leaving endpoints are ignored, because no request is sent to them after that.
 *
 * @param options - the endpoints, the service and the time
 * @returns milliseconds, or undefined when no endpoint asked for fewer requests
 * @example
 * findRetryTime({ endpoints, service: 'booking', estimateWait, now: clock.now() }); // 1_800
 */
export function findRetryTime(options: FindRetryTimeOptions): number | undefined {
  const { endpoints, service, estimateWait, now } = options;
  const times = endpoints
    .filter((endpoint) => endpoint.record.service === service && !isLeavingEndpoint(endpoint))
    .map(({ backoffUntil, record }) => Math.max(backoffUntil - now, estimateWait(record)))
    .filter((remaining) => remaining > 0);
  return times.length > 0 ? Math.min(...times) : undefined;
}
