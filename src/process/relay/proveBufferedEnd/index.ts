/**
 * Proof that a buffered response which ended with its connection is complete.
 */
import type { EndpointWitness, WitnessFinding } from '../../../types/relay/index.js';
import type { EndpointRecord } from '../../../types/site/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link proveBufferedEnd}. */
export interface ProveBufferedEndOptions {
  /** Second connection to the endpoint; undefined where the port opened none. */
  readonly witness: EndpointWitness | undefined;
  /** Entry of the endpoint when the request was sent. */
  readonly sentTo: EndpointRecord;
  readonly timeoutMilliseconds: number;
}

/**
 * Finds out whether the process that sent a response outlived its end.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param options - the witness, the endpoint, and the time left in milliseconds
 * @returns the finding; without one in time, or when the node stops, `unknown`
 * @example
 * await proveBufferedEnd(context, request, { witness, sentTo, timeoutMilliseconds: 300 }); // 'outlived'
 */
export async function proveBufferedEnd(
  { endpoints, stopSignal }: Pick<RelayContext, 'endpoints' | 'stopSignal'>,
  { service: { healthPath } }: Pick<RelayedRequest, 'service'>,
  { witness, sentTo: { id, address, startedAt }, timeoutMilliseconds }: ProveBufferedEndOptions,
): Promise<WitnessFinding> {
  if (!witness) return 'unknown';
  const removeStopCallback = stopSignal.onRaised(witness.close);
  const query = { endpoint: id, address, healthPath, timeoutMilliseconds };
  const finding = await witness.confirm(query);
  removeStopCallback();
  // The endpoint's health response names its id, which it may keep when it restarts.
  const known = endpoints.find(id)?.record;
  return known && known.startedAt !== startedAt ? 'ended' : finding;
}
