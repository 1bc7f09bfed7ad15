/**
 * Exceptions and rejections that nothing in the process caught.
 */

/** Records what was thrown, and whether it came from an exception or a rejection. */
export type ErrorRecorder = (
  error: unknown,
  origin: 'uncaughtException' | 'unhandledRejection',
) => void;

/**
 * Keeps the process running after an exception or rejection that nothing caught.
 *
 * What failed belongs to one request, message or loop; the end of the process would cut all open requests, and
 * a request that causes the exception would end one node after the other as its caller repeats it. The
 * request that failed is answered at its deadline.
 *
 * @param record - called with each error
 * @returns nothing
 * @example
 * listenForErrors((error, origin) => logger.log('internal-error', { origin, reason: String(error) }));
 */
export function listenForErrors(record: ErrorRecorder): void {
  process.on('uncaughtException', record);
  process.on('unhandledRejection', (error) => {
    record(error, 'unhandledRejection');
  });
}
