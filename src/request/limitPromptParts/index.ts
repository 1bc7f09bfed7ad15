/**
 * Bounds on the parts of a prompt by which requests that crash endpoints are recognized.
 */
import { createHash } from 'node:crypto';

/** Parts of one request, its identity included, and the length of an identifier in characters. */
export const MAXIMUM_PARTS = 64;
export const MAXIMUM_PART_LENGTH = 64;
/** Length of a digest in hexadecimal digits. */
export const DIGEST_DIGITS = 24;
const MAXIMUM_PROMPT_PARTS = MAXIMUM_PARTS - 1;

function shortenPart(part: string): string {
  if (part.length <= MAXIMUM_PART_LENGTH) return part;
  return `long-${createHash('sha256').update(part).digest('hex').slice(0, DIGEST_DIGITS)}`;
}

/**
 * Shortens a long list of parts, but keeps its last one, which belongs to the request or its session.
 *
 * @param parts - identifiers of the parts of a prompt, in order
 * @returns the parts within the bounds
 * @example
 * limitPromptParts(['a1', 'b2']); // ['a1', 'b2']
 */
export function limitPromptParts(parts: readonly string[]): readonly string[] {
  const kept =
    parts.length <= MAXIMUM_PROMPT_PARTS
      ? parts
      : [...parts.slice(0, MAXIMUM_PROMPT_PARTS - 1), ...parts.slice(-1)];
  return kept.map(shortenPart);
}
