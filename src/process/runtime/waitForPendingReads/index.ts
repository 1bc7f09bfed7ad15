/**
 * Wait for what has arrived on connections and is not read yet.
 */

/**
 * Resolves when what has arrived on all connections is read: the event loop reads the end of a connection
 * one turn after the bytes before it.
 *
 * @returns a promise that resolves after two turns of the event loop
 * @example
 * await waitForPendingReads();
 */
export function waitForPendingReads(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });
}
