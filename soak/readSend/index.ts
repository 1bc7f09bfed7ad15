/**
 * What a request that reached an endpoint says: its kind, its name, and the path that it takes.
 */
import type { ReceivedRequest } from '../../standins/serveSiteEndpoint/index.js';
import type { LayerSpan, RequestKind } from '../types/index.js';

const KINDS_BY_PATH: readonly (readonly [string, RequestKind])[] = [
  ['/ask/', 'stream'],
  ['/book/', 'booking'],
];

/**
 * Reads a header.
 *
 * @param request - the request
 * @param name - the header's name in lower case
 * @returns its value; empty without one
 * @example
 * readHeader(request, 'attempt-id');
 */
export function readHeader({ headers }: ReceivedRequest, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

/** One endpoint of a path, and the layers that it takes. */
export interface Hop extends LayerSpan {
  readonly address: string;
}

/**
 * Reads a path as the wire spells it.
 *
 * @param text - `address=from-to` of each endpoint, in order, with commas between
 * @returns the endpoints; none for an empty text
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
 * Finds the kind of a request by its path.
 *
 * @param url - path and query
 * @returns the kind
 * @example
 * findKind('/book/one'); // 'booking'
 */
export function findKind(url: string): RequestKind {
  return KINDS_BY_PATH.find(([prefix]) => url.startsWith(prefix))?.[1] ?? 'lookUp';
}

/**
 * Reads the name of the caller's request, which all its attempts share.
 *
 * @param url - path and query
 * @returns the name
 * @example
 * readName('/ask/one?request=r7'); // 'r7'
 */
export function readName(url: string): string {
  return new URL(url, 'http://endpoint').searchParams.get('request') ?? '';
}
