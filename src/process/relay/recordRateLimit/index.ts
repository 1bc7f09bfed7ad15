/**
 * Record of the rate limits that endpoints announce in their responses.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';

/** Options of {@link recordRateLimit}. */
export interface RecordRateLimitOptions {
  readonly logger: Pick<SiteLogger, 'log'>;
  /** Requests per second that the endpoint accepts from all nodes together; undefined without a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Response that announced it. */
  readonly source: 'response' | 'report';
}

/**
 * Records the rate limit of an endpoint, and logs it when it changed.
 *
 * @param endpoint - the endpoint that responded
 * @param options - the limit in requests per second, where it was announced, and the logger
 * @returns nothing
 * @example
 * recordRateLimit(endpoint, { logger, requestsPerSecond: 3.2, source: 'response' });
 */
export function recordRateLimit(endpoint: Endpoint, options: RecordRateLimitOptions): void {
  const { logger, requestsPerSecond, source } = options;
  const previous = endpoint.requestsPerSecond;
  if (requestsPerSecond === previous) return;
  endpoint.requestsPerSecond = requestsPerSecond;
  const { id } = endpoint.record;
  if (requestsPerSecond === undefined) logger.log('endpoint-limit-ended', { endpoint: id, source });
  else logger.log('endpoint-limits', { endpoint: id, requestsPerSecond, source });
}
