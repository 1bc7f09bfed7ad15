/**
 * Watch for replaced files, such as renewed certificates.
 */
import { unwatchFile, watchFile } from 'node:fs';

const CHECK_INTERVAL_MILLISECONDS = 5_000;

/**
 * Watches files for changes.
 *
 * @param files - paths of the files
 * @param onChange - called after a file has changed
 * @returns a function that stops the watch
 * @example
 * const unwatch = watchFiles([certificateFile, keyFile], reload);
 */
export function watchFiles(files: readonly string[], onChange: () => void): () => void {
  const listener = (): void => {
    onChange();
  };
  for (const file of files) {
    watchFile(file, { interval: CHECK_INTERVAL_MILLISECONDS, persistent: false }, listener);
  }
  return () => {
    for (const file of files) unwatchFile(file, listener);
  };
}
