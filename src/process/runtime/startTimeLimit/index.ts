/**
 * Time limit of a response of another process, which excludes the time in which this process did not run.
 */
import { waitForPendingReads } from '../waitForPendingReads/index.js';

/** Number of timers of a time limit; each one measures how long the process did not run. */
const TIMERS_PER_LIMIT = 4;

/** Lateness up to which a timer counts as punctual, in milliseconds. */
const PUNCTUAL_MILLISECONDS = 10;

/**
 * Starts a time limit.
 *
 * A process that is held up runs its due timers before it reads from its connections. So the limit elapses only after
 * what arrived in the meantime is read. A response that needs more than that, such as one whose connection was just
 * accepted, gets the time in which the process did not run once more, and at most the limit itself.
 *
 * @param milliseconds - the limit
 * @param onElapsed - called when the limit has elapsed
 * @returns a function that cancels the limit
 * @example
 * const cancelLimit = startTimeLimit(200, () => socket.destroy());
 */
export function startTimeLimit(milliseconds: number, onElapsed: () => void): () => void {
  const startedAt = performance.now();
  let isCancelled = false;
  let stalledMilliseconds = 0;
  let timer: NodeJS.Timeout | undefined;
  const elapse = async (): Promise<void> => {
    await waitForPendingReads();
    if (!isCancelled) onElapsed();
  };
  const startTimer = (delay: number): void => {
    const dueAt = performance.now() + delay;
    timer = setTimeout(() => {
      const now = performance.now();
      const lateness = now - dueAt;
      if (lateness > PUNCTUAL_MILLISECONDS) stalledMilliseconds += lateness;
      const remaining = startedAt + milliseconds - now;
      if (remaining > 0) startTimer(Math.min(remaining, milliseconds / TIMERS_PER_LIMIT));
      else if (stalledMilliseconds === 0) void elapse();
      else timer = setTimeout(() => void elapse(), Math.min(stalledMilliseconds, milliseconds));
    }, delay);
  };
  startTimer(milliseconds / TIMERS_PER_LIMIT);
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
}
