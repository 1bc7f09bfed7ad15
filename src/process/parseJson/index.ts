/**
 * Parsing of JSON that may be malformed.
 */

/**
 * Parses JSON.
 *
 * @param text - the text
 * @returns the value, or undefined when the text is not JSON
 * @example
 * parseJson('{"a":1}');
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
