/**
 * Waiting in real time.
 */

/**
 * Waits.
 *
 * @param milliseconds - time to wait
 * @returns a promise that resolves after that time
 * @example
 * await sleep(100);
 */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((done) => {
    setTimeout(done, milliseconds);
  });
}
