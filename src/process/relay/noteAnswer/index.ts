/**
 * What an endpoint says of itself in the head of an answer, beside the answer.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { ResponseMetadata, BackoffRequest } from '../../../types/relay/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { RelayContext } from '../types/index.js';

/** Options of {@link noteLeaving}. */
export interface RecordLeavingOptions {
  readonly endpoints: Pick<EndpointTable, 'markLeaving'>;
  readonly logger: SiteLogger;
  readonly now: number;
}

/**
 * Takes that an endpoint is leaving, and logs it when this is news.
 *
 * @param options - the table, the logger and the time
 * @param endpoint - the endpoint
 * @param source - who said so
 * @returns nothing
 * @example
 * noteLeaving({ endpoints, logger, now: clock.now() }, endpoint, 'itself');
 */
export function noteLeaving(
  { endpoints, logger, now }: RecordLeavingOptions,
  endpoint: Endpoint,
  source: 'itself' | 'peer',
): void {
  if (!endpoints.markLeaving(endpoint, now)) return;
  logger.log('endpoint-leaving', { endpoint: endpoint.record.id, source });
}

/**
 * Tells whether an answer belongs to an attempt; one that names no attempt is taken for it.
 *
 * @param metadata - metadata of the response
 * @param attempt - identifier of the attempt
 * @returns whether it does
 * @example
 * isResponseTo(head.metadata, request.caller.attempt);
 */
export function isResponseTo(metadata: ResponseMetadata, attempt: string): boolean {
  return metadata.attempt === undefined || metadata.attempt === attempt;
}

type RecordingContext = Pick<RelayContext, 'endpoints' | 'clock' | 'logger' | 'random'>;

/** Rest of an endpoint that asked for it without a time that can be read, in milliseconds. */
const DEFAULT_BACKOFF_MILLISECONDS = 1_000;
/** How much longer a rest may be than asked, so that nodes do not come back at the same moment. */
const BACKOFF_JITTER_SHARE = 0.1;

function recordBackoff(
  context: RecordingContext,
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
  const wasBackingOff = endpoint.restsUntil > now;
  endpoints.backOff(endpoint, now, requestedMilliseconds * (1 + BACKOFF_JITTER_SHARE * random()));
  if (!wasBackingOff)
    logger.log('endpoint-rests', { endpoint: id, milliseconds: Math.round(requestedMilliseconds) });
}

/**
 * Takes the load of an endpoint, that it is leaving, and the rest that it asks for.
 *
 * @param context - services of the process
 * @param endpoint - the endpoint that answered
 * @param metadata - metadata of the response
 * @returns nothing
 * @example
 * recordResponse(context, endpoint, head.metadata);
 */
export function recordResponse(
  context: RecordingContext,
  endpoint: Endpoint,
  { runningRequests, waitingRequests = 0, isLeaving, backoff, failedAddress }: ResponseMetadata,
): void {
  const { endpoints, clock, logger } = context;
  if (runningRequests !== undefined) {
    endpoint.running = runningRequests;
    endpoint.waiting = waitingRequests;
    endpoint.loadReadAt = clock.now();
  }
  if (isLeaving) noteLeaving({ endpoints, logger, now: clock.now() }, endpoint, 'itself');
  if (!backoff) return;
  recordBackoff(context, endpoint, backoff);
  // A later endpoint of the path may be the one without room.
  const failed = failedAddress === undefined ? undefined : endpoints.findByAddress(failedAddress);
  if (failed && failed !== endpoint) recordBackoff(context, failed, backoff);
}
