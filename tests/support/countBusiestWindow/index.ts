/**
 * Number of events in the busiest window of a given length.
 */

/**
 * Counts the events in the window that holds most of them.
 *
 * @param times - times of the events in milliseconds, in order
 * @param windowMilliseconds - length of a window
 * @returns the highest number of events in a window
 * @example
 * countBusiestWindow([0, 10, 5_000], 4_000); // 2
 */
export function countBusiestWindow(times: readonly number[], windowMilliseconds: number): number {
  let first = 0;
  let most = 0;
  times.forEach((time, index) => {
    while (time - (times[first] ?? time) >= windowMilliseconds) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
