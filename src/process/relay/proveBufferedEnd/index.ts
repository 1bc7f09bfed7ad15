/**
 * Proof that a buffered response which ended with its connection is complete.
 */
import type { LivenessCheck, LivenessResult } from '../../../types/relay/index.js';
import type { EndpointRecord } from '../../../types/site/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link proveBufferedEnd}. */
export interface ProveBufferedEndOptions {
  /** Second connection to the endpoint; undefined where the port opened none. */
  readonly livenessCheck: LivenessCheck | undefined;
  /** Entry of the endpoint when the request was sent. */
  readonly sentTo: EndpointRecord;
  readonly timeoutMilliseconds: number;
}

/**
 * Finds out whether the process that sent a response still ran after the response ended.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param options - the liveness check, the endpoint, and the time left in milliseconds
 * @returns the finding; without one in time, or when the node stops, `unknown`
 * @example
 * await proveBufferedEnd(context, request, { livenessCheck, sentTo, timeoutMilliseconds: 300 }); // 'alive'
 */
export async function proveBufferedEnd(
  { endpoints, stopSignal }: Pick<RelayContext, 'endpoints' | 'stopSignal'>,
  { service: { healthPath } }: Pick<RelayedRequest, 'service'>,
  {
    livenessCheck,
    sentTo: { id, address, startedAt },
    timeoutMilliseconds,
  }: ProveBufferedEndOptions,
): Promise<LivenessResult> {
  if (!livenessCheck) return 'unknown';
  const removeStopCallback = stopSignal.onRaised(livenessCheck.close);
  const query = { endpoint: id, address, healthPath, timeoutMilliseconds };
  const finding = await livenessCheck.confirm(query);
  removeStopCallback();
  // The endpoint's health response names its id, which it may keep when it restarts.
  const known = endpoints.find(id)?.record;
  return known && known.startedAt !== startedAt ? 'ended' : finding;
}
