/**
 * Content digests.
 */
import { createHash } from 'node:crypto';

/**
 * Computes the SHA-256 digest of a text.
 *
 * @param text - the text, read as UTF-8
 * @returns the digest as 64 hexadecimal digits
 * @example
 * digestText('secret');
 */
export function digestText(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}
