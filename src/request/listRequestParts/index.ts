/**
 * Parts by which requests that crash endpoints are recognized.
 */
import { createHash } from 'node:crypto';
import type { ForwardedRequest } from '../../types/relay/index.js';

/** Options of {@link listRequestParts}. */
export interface ListRequestPartsOptions {
  readonly service: string;
  readonly forwarded: Pick<ForwardedRequest, 'method' | 'url' | 'body'>;
  /** Identifiers of the parts of the prompt; none for a plain request. */
  readonly promptParts: readonly string[];
}

/** Length of the digest of a plain request in hexadecimal digits. */
const DIGEST_DIGITS = 24;

/**
 * Lists the parts of a request: those of its prompt, or a digest of the request where it has no prompt.
 *
 * @param options - the service, the request and the parts of its prompt
 * @returns the parts in order; the last one identifies the request itself
 * @example
 * listRequestParts({ service: 'assistant', forwarded, promptParts: ['a1', 'b2'] }); // ['a1', 'b2']
 */
export function listRequestParts(options: ListRequestPartsOptions): readonly string[] {
  const { service, forwarded, promptParts } = options;
  if (promptParts.length > 0) return promptParts;
  const { method, url, body } = forwarded;
  const hash = createHash('sha256').update(`${service}\n${method}\n${url}\n`);
  if (body) hash.update(body);
  return [`call-${hash.digest('hex').slice(0, DIGEST_DIGITS)}`];
}
