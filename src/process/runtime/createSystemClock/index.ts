/**
 * The clock of the process.
 */
import type { Clock } from '../../../types/clock/index.js';
import { waitForPendingReads } from '../waitForPendingReads/index.js';

/**
 * Creates a clock based on the timers of the process.
 *
 * @returns the clock
 * @example
 * createSystemClock().schedule(100, () => undefined);
 */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    schedule: (milliseconds, action) => {
      const timer = setTimeout(action, milliseconds);
      return () => {
        clearTimeout(timer);
      };
    },
    scheduleAfterReads: (milliseconds, action) => {
      let isCancelled = false;
      const runAfterReads = async (): Promise<void> => {
        await waitForPendingReads();
        if (!isCancelled) action();
      };
      const timer = setTimeout(() => void runAfterReads(), milliseconds);
      return () => {
        isCancelled = true;
        clearTimeout(timer);
      };
    },
  };
}
