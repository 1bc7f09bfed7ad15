/**
 * Text of what was thrown, for log lines.
 */

/**
 * Describes what was thrown: where it arose, if that is known.
 *
 * @param error - what was thrown
 * @returns the stack of an error, else the value as text
 * @example
 * describeFault('gone'); // 'gone'
 */
export function describeFault(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
