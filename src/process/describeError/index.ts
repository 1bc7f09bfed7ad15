/**
 * Description of thrown values for log lines.
 */

/**
 * Describes a thrown value, with its stack when it has one.
 *
 * @param error - the thrown value
 * @returns the stack of an error, or the value as text
 * @example
 * describeError('gone'); // 'gone'
 */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
