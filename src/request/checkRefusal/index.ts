/**
 * Check of whether a response proves that its endpoint did not execute the request.
 */
import type { ResponseMetadata } from '../../types/relay/index.js';

/** What a response states: a refusal of the attempt, a refusal that may be of another one, or none. */
export type RefusalCheckResult = 'refused' | 'unproven' | 'none';

/** Options of {@link checkRefusal}. */
export interface CheckRefusalOptions {
  readonly metadata: Pick<ResponseMetadata, 'attempt' | 'isNotExecuted'>;
  /** Identifier of the attempt; empty when the request has none. */
  readonly attempt: string;
}

/**
 * Checks whether a response refuses an attempt.
 *
 * A refusal that names no attempt proves nothing about a request with one, since it may be an earlier
 * refusal that the endpoint sends once more.
 *
 * @param options - metadata of the response, and the identifier of the attempt
 * @returns whether the response is a refusal, and whether it is certainly one of the attempt
 * @example
 * checkRefusal({ metadata: { isNotExecuted: true }, attempt: '9c41' }); // 'unproven'
 */
export function checkRefusal(options: CheckRefusalOptions): RefusalCheckResult {
  const { metadata, attempt } = options;
  if (!metadata.isNotExecuted) return 'none';
  return (metadata.attempt ?? '') === attempt ? 'refused' : 'unproven';
}
