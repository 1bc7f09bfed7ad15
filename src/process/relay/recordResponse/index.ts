/**
 * State of an endpoint as it reports it in the headers of its responses.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { ResponseMetadata, BackoffRequest } from '../../../types/relay/index.js';
import type { RateLimits } from '../../site/createRateLimits/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';

/** Options of {@link recordLeaving}. */
export interface RecordLeavingOptions {
  readonly endpoints: Pick<EndpointTable, 'markLeaving'>;
  readonly logger: SiteLogger;
  readonly now: number;
}

/**
 * Marks an endpoint as leaving, and logs it when the state changed.
 *
 * @param options - the endpoint table, the logger and the current time in milliseconds
 * @param endpoint - the endpoint
 * @param source - the reporter: the endpoint itself or another node
 * @returns nothing
 * @example
 * recordLeaving({ endpoints, logger, now: clock.now() }, endpoint, 'itself');
 */
export function recordLeaving(
  { endpoints, logger, now }: RecordLeavingOptions,
  endpoint: Endpoint,
  source: 'itself' | 'peer',
): void {
  if (!endpoints.markLeaving(endpoint, now)) return;
  logger.log('endpoint-leaving', { endpoint: endpoint.record.id, source });
}

/**
 * Returns whether a response belongs to an attempt; a response that names no attempt is accepted.
 *
 * @param metadata - metadata of the response
 * @param attempt - identifier of the attempt
 * @returns true when the response belongs to the attempt
 * @example
 * isResponseTo(head.metadata, request.caller.attempt);
 */
export function isResponseTo(metadata: ResponseMetadata, attempt: string): boolean {
  return metadata.attempt === undefined || metadata.attempt === attempt;
}

/** Dependencies of {@link recordResponse}. */
export interface RecordResponseContext {
  readonly endpoints: Pick<EndpointTable, 'backOff' | 'findByAddress' | 'markLeaving'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly logger: SiteLogger;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly rateLimits: Pick<RateLimits, 'record'>;
}

/** Backoff when the requested time cannot be parsed, in milliseconds. */
const DEFAULT_BACKOFF_MILLISECONDS = 1_000;
/** Maximum random extension of a backoff, so that nodes do not all resume at the same time. */
const BACKOFF_JITTER_SHARE = 0.1;

function recordBackoff(
  context: RecordResponseContext,
  endpoint: Endpoint,
  backoff: BackoffRequest,
): void {
  const { endpoints, clock, logger, random } = context;
  const { id } = endpoint.record;
  if (backoff.kind === 'unreadable') {
    logger.log('endpoint-rest-unreadable', { endpoint: id, text: backoff.text });
  }
  const requestedMilliseconds =
    backoff.kind === 'timed' ? backoff.milliseconds : DEFAULT_BACKOFF_MILLISECONDS;
  const now = clock.now();
  const wasBackingOff = endpoint.backoffUntil > now;
  endpoints.backOff(endpoint, now, requestedMilliseconds * (1 + BACKOFF_JITTER_SHARE * random()));
  if (!wasBackingOff)
    logger.log('endpoint-rests', { endpoint: id, milliseconds: Math.round(requestedMilliseconds) });
}

/**
 * Records the load of an endpoint, its rate limit, whether it is leaving, and the backoff that it requests.
 *
 * @param context - dependencies of the process
 * @param endpoint - the endpoint that responded
 * @param metadata - metadata of the response
 * @returns nothing
 * @example
 * recordResponse(context, endpoint, head.metadata);
 */
export function recordResponse(
  context: RecordResponseContext,
  endpoint: Endpoint,
  metadata: ResponseMetadata,
): void {
  const { endpoints, clock, logger, rateLimits } = context;
  const { runningRequests, waitingRequests = 0, isLeaving, backoff, failedAddress } = metadata;
  if (runningRequests !== undefined) {
    endpoint.running = runningRequests;
    endpoint.waiting = waitingRequests;
    endpoint.loadReadAt = clock.now();
  }
  if (metadata.rateLimit)
    rateLimits.record(endpoint.record, metadata.rateLimit.requestsPerSecond, 'response');
  if (isLeaving) recordLeaving({ endpoints, logger, now: clock.now() }, endpoint, 'itself');
  if (!backoff) return;
  recordBackoff(context, endpoint, backoff);
  // The endpoint without free memory may be a later one of the path.
  const failed = failedAddress === undefined ? undefined : endpoints.findByAddress(failedAddress);
  if (failed && failed !== endpoint) recordBackoff(context, failed, backoff);
}
