/**
 * Description of thrown values for log lines.
 */

/**
 * Describes a thrown value, with its stack when it has one.
 *
 * @param error - the thrown value
 * @returns the stack of an error, or the value as text
 * @example
 * describeFault('gone'); // 'gone'
 */
export function describeFault(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
