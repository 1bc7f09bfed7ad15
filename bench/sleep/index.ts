/**
 * Delays in real time.
 */

/**
 * Waits for a time.
 *
 * @param milliseconds - time to wait in milliseconds
 * @returns resolves after that time
 * @example
 * await sleep(100);
 */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((done) => {
    setTimeout(done, milliseconds);
  });
}
