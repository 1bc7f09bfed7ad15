/**
 * Parsing of requests that an endpoint receives: their kind, their id and their path.
 */
import type { ReceivedRequest } from '../../standins/serveSiteEndpoint/index.js';
import type { LayerSpan, RequestKind } from '../types/index.js';

const KINDS_BY_PATH: readonly (readonly [string, RequestKind])[] = [
  ['/ask/', 'stream'],
  ['/book/', 'booking'],
];

/**
 * Returns the value of a header.
 *
 * @param request - received request
 * @param name - name of the header in lower case
 * @returns the value; empty when the header is missing
 * @example
 * readHeader(request, 'attempt-id');
 */
export function readHeader({ headers }: ReceivedRequest, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

/** One endpoint of a path, with the layers that it runs. */
export interface Hop extends LayerSpan {
  readonly address: string;
}

/**
 * Parses a path in the format of the protocol.
 *
 * @param text - `address=from-to` of each endpoint, in order, separated by commas
 * @returns the hops; none for an empty text
 * @example
 * readPath('127.0.0.1:80=0-4');
 */
export function readPath(text: string): Hop[] {
  if (text === '') return [];
  return text.split(',').map((part) => {
    const [address = '', range = ''] = part.split('=');
    const [from, to] = range.split('-').map(Number);
    return { address, from: from ?? 0, to: to ?? 0 };
  });
}

/**
 * Returns the kind of a request, determined by its path.
 *
 * @param url - path and query of the request
 * @returns the kind; a look-up for any other path
 * @example
 * findRequestKind('/book/one'); // 'booking'
 */
export function findRequestKind(url: string): RequestKind {
  return KINDS_BY_PATH.find(([prefix]) => url.startsWith(prefix))?.[1] ?? 'lookUp';
}

/**
 * Reads the id of the caller's request, which all its attempts share.
 *
 * @param url - path and query of the request
 * @returns the id; empty when it is missing
 * @example
 * readRequestId('/ask/one?request=r7'); // 'r7'
 */
export function readRequestId(url: string): string {
  return new URL(url, 'http://endpoint').searchParams.get('request') ?? '';
}

/** Prefix of the identifiers of parts on which endpoints crash. */
export const CRASHING_PART_PREFIX = 'crash-';

/**
 * Reads the parts of a request's prompt.
 *
 * @param request - received request
 * @returns the identifiers in order; none without a prompt
 * @example
 * readParts(request); // ['head-1', 'own-r7']
 */
export function readParts(request: ReceivedRequest): string[] {
  const prefix = readHeader(request, 'prompt-prefix');
  return prefix === '' ? [] : prefix.split(',').map((entry) => entry.split(':', 1)[0] ?? '');
}

/**
 * Returns whether endpoints crash as they begin to answer a request with a part.
 *
 * @param part - identifier of the part
 * @returns true for a crashing part
 * @example
 * isCrashingPart('crash-1'); // true
 */
export function isCrashingPart(part: string): boolean {
  return part.startsWith(CRASHING_PART_PREFIX);
}
