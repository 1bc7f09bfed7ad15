/**
 * Parts by which requests that crash endpoints are recognized.
 */
import { createHash } from 'node:crypto';
import type { ForwardedRequest } from '../../types/relay/index.js';
import { DIGEST_DIGITS, limitPromptParts } from '../limitPromptParts/index.js';

/** Options of {@link listRequestParts}. */
export interface ListRequestPartsOptions {
  readonly service: string;
  /** Account of the caller; undefined when it has none. */
  readonly account: string | undefined;
  readonly forwarded: Pick<ForwardedRequest, 'method' | 'url' | 'body'>;
  /** Identifiers of the parts of the prompt; none for a plain request. */
  readonly promptParts: readonly string[];
}

/** Parts at the end of a list that few requests share: the last one of the prompt, or the call, and the identity. */
export const OWN_PARTS = 2;

/**
 * Lists the parts of a request: those of its prompt, or a digest of the call where it has no prompt; and its
 * identity, a digest that also depends on the caller and the body.
 *
 * A session's requests share the last part of a prompt, and callers the same call, so that an answer
 * to one of them says nothing of the others.
 *
 * @param options - the service, the account, the request and the parts of its prompt
 * @returns the parts in order; the last one identifies the request itself
 * @example
 * listRequestParts({ service: 'assistant', account, forwarded, promptParts: ['a1', 'b2'] }).length; // 3
 */
export function listRequestParts(options: ListRequestPartsOptions): readonly string[] {
  const { service, account = '', forwarded, promptParts } = options;
  const { method, url, body } = forwarded;
  const hash = createHash('sha256').update(`${service}\n${method}\n${url}\n`);
  if (body) hash.update(body);
  const call = `call-${hash.digest('hex').slice(0, DIGEST_DIGITS)}`;
  const shared = promptParts.length > 0 ? limitPromptParts(promptParts) : [call];
  const identity = createHash('sha256').update(`${call}\n${account}\n${shared.at(-1) ?? ''}`);
  return [...shared, `request-${identity.digest('hex').slice(0, DIGEST_DIGITS)}`];
}
