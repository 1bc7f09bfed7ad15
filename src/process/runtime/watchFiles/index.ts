/**
 * Reloading of certificate files when they are replaced.
 */
import { unwatchFile, watchFile } from 'node:fs';

const CHECK_MILLISECONDS = 5_000;

/**
 * Calls back when one of some files is replaced.
 *
 * @param files - the files to watch
 * @param onReplaced - called after a file has changed
 * @returns a function that ends the watch
 * @example
 * const unwatch = watchFiles([certificateFile, keyFile], reload);
 */
export function watchFiles(files: readonly string[], onReplaced: () => void): () => void {
  const listener = (): void => {
    onReplaced();
  };
  for (const file of files) {
    watchFile(file, { interval: CHECK_MILLISECONDS, persistent: false }, listener);
  }
  return () => {
    for (const file of files) unwatchFile(file, listener);
  };
}
