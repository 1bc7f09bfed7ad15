/**
 * Virtual time for whole nodes: actions in order of time, and promises settled between them.
 */
import { createEventQueue } from '../../standins/createEventQueue/index.js';
import type { Clock } from '../../src/types/clock/index.js';

/** Virtual time. */
export interface VirtualTime extends Clock {
  /** Resolves after a time in milliseconds. */
  readonly delay: <Value>(milliseconds: number, value: Value) => Promise<Value>;
  /** Says that a promise may have been settled, so that its followers run before time goes on. */
  readonly touch: () => void;
  /** Lets time pass until a moment in milliseconds. */
  readonly run: (until: number) => Promise<void>;
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Creates virtual time that begins at 0.
 *
 * @returns the time
 * @example
 * const time = createVirtualTime();
 * time.schedule(5, () => undefined);
 * await time.run(10);
 */
export function createVirtualTime(): VirtualTime {
  const queue = createEventQueue(0);
  let mayHaveSettled = false;
  const touch = (): void => {
    mayHaveSettled = true;
  };
  return {
    now: queue.now,
    touch,
    schedule: (milliseconds, action) => {
      let isCancelled = false;
      queue.schedule(milliseconds, () => {
        if (isCancelled) return;
        touch();
        action();
      });
      return () => {
        isCancelled = true;
      };
    },
    delay: (milliseconds, value) =>
      new Promise((resolve) => {
        queue.schedule(milliseconds, () => {
          touch();
          resolve(value);
        });
      }),
    run: async (until) => {
      await settlePromises();
      while (queue.runNext(until)) {
        if (!mayHaveSettled) continue;
        mayHaveSettled = false;
        await settlePromises();
      }
      queue.runUntil(until);
    },
  };
}
