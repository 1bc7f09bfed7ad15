/**
 * Authorization of callers by bearer key.
 */
import { timingSafeEqual } from 'node:crypto';
import type { Account, CompiledConfiguration } from '../../version/compileConfiguration/index.js';
import { digestText } from '../../version/digestText/index.js';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

/**
 * Extracts the bearer key from an Authorization header.
 *
 * @param header - value of the header, if present
 * @returns the key, or undefined when the header contains none
 * @example
 * readBearerKey('Bearer secret'); // 'secret'
 */
export function readBearerKey(header: string | undefined): string | undefined {
  return header === undefined ? undefined : BEARER.exec(header)?.[1];
}

/**
 * Compares two texts in time that does not depend on where they differ.
 *
 * @param left - one text
 * @param right - the other text
 * @returns true when they are equal
 * @example
 * equalsInConstantTime('a', 'a'); // true
 */
export function equalsInConstantTime(left: string, right: string): boolean {
  return timingSafeEqual(
    Buffer.from(digestText(left), 'hex'),
    Buffer.from(digestText(right), 'hex'),
  );
}

/**
 * Finds the client account of a caller.
 *
 * Keys are stored as SHA-256 digests. The map lookup by digest leaks no useful timing, because a
 * caller cannot choose a key whose digest resembles a stored one. The digests are then compared in
 * constant time.
 *
 * @param version - the compiled configuration
 * @param header - value of the Authorization header, if present
 * @returns the account, or undefined when the key is missing or unknown
 * @example
 * authorizeCaller(version, 'Bearer secret')?.name;
 */
export function authorizeCaller(
  version: CompiledConfiguration,
  header: string | undefined,
): Account | undefined {
  const key = readBearerKey(header);
  if (key === undefined) return undefined;
  const account = version.accountsByKeyDigest.get(digestText(key));
  if (!account) return undefined;
  const stored = account.labels['key-sha256'] ?? '';
  return equalsInConstantTime(stored, digestText(key)) ? account : undefined;
}
