/**
 * Check of what the HTTP parser accepts in a request but no request to an endpoint may contain.
 */
import type { IncomingMessage } from 'node:http';

/** Characters that a path may not contain; the parser accepts tab and form feed. */
const INVALID_PATH = /[^\u0021-\u00ff]/;
/** Name of a header; the parser also accepts spaces. */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;

/**
 * Returns whether a name is valid for a header.
 *
 * @param name - the name
 * @returns true when it is a token
 * @example
 * isHeaderName('Odd name'); // false
 */
export function isHeaderName(name: string): boolean {
  return HEADER_NAME.test(name);
}

/**
 * Returns whether the path and the names of the headers of a request are valid.
 *
 * @param request - path and raw headers
 * @returns false when the request cannot be passed on as it is
 * @example
 * isWellFormedRequest({ url: '/a\tb', rawHeaders: [] }); // false
 */
export function isWellFormedRequest({
  url = '/',
  rawHeaders,
}: Pick<IncomingMessage, 'url' | 'rawHeaders'>): boolean {
  if (INVALID_PATH.test(url)) return false;
  return rawHeaders.every((text, index) => index % 2 === 1 || isHeaderName(text));
}
