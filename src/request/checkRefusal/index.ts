/**
 * Check of whether a response proves that its endpoint did not execute the request.
 */
import type { ResponseMetadata } from '../../types/relay/index.js';

/** What a response states: a refusal of the attempt, a refusal without proof, or none. */
export type RefusalCheckResult = 'refused' | 'unproven' | 'none';

/** Options of {@link checkRefusal}. */
export interface CheckRefusalOptions {
  /** HTTP status of the response. */
  readonly status: number;
  readonly metadata: Pick<ResponseMetadata, 'attempt' | 'isNotExecuted'>;
  /** Identifier of the attempt; empty when the request has none. */
  readonly attempt: string;
}

/** Statuses that promise a caller that its request was not executed and will not be. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks whether a response refuses an attempt.
 *
 * A refusal that names no attempt proves nothing about a request with one, since it may be an earlier
 * refusal that the endpoint sends once more. Neither does a status alone.
 *
 * @param options - status and metadata of the response, and the identifier of the attempt
 * @returns whether the response is a refusal, and whether it is certainly one of the attempt
 * @example
 * checkRefusal({ status: 503, metadata: { isNotExecuted: true }, attempt: '9c41' }); // 'unproven'
 */
export function checkRefusal(options: CheckRefusalOptions): RefusalCheckResult {
  const { status, metadata, attempt } = options;
  if (!metadata.isNotExecuted) return REFUSAL_STATUSES.has(status) ? 'unproven' : 'none';
  return (metadata.attempt ?? '') === attempt ? 'refused' : 'unproven';
}
