/**
 * The clock of the process.
 */
import type { Clock } from '../../../types/clock/index.js';

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
  };
}
