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

/** Parts of one request, and the length of a part's identifier in characters. */
export const MAXIMUM_PARTS = 64;
export const MAXIMUM_PART_LENGTH = 64;
/** Length of the digest of a plain request in hexadecimal digits. */
const DIGEST_DIGITS = 24;

function shortenPart(part: string): string {
  if (part.length <= MAXIMUM_PART_LENGTH) return part;
  return `long-${createHash('sha256').update(part).digest('hex').slice(0, DIGEST_DIGITS)}`;
}

/** Shortens a long list, but keeps its last part, which identifies the request. */
function limitParts(parts: readonly string[]): readonly string[] {
  const kept =
    parts.length <= MAXIMUM_PARTS
      ? parts
      : [...parts.slice(0, MAXIMUM_PARTS - 1), ...parts.slice(-1)];
  return kept.map(shortenPart);
}

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
  if (promptParts.length > 0) return limitParts(promptParts);
  const { method, url, body } = forwarded;
  const hash = createHash('sha256').update(`${service}\n${method}\n${url}\n`);
  if (body) hash.update(body);
  return [`call-${hash.digest('hex').slice(0, DIGEST_DIGITS)}`];
}
