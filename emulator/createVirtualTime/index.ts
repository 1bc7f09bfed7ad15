/**
 * Virtual time for complete nodes: runs scheduled actions in order, and promise reactions between them.
 */
import { createEventQueue } from '../../standins/createEventQueue/index.js';
import type { Clock } from '../../src/types/clock/index.js';

/** Clock that advances from action to action. */
export interface VirtualTime extends Clock {
  /** Returns a promise that resolves to a value after a delay in milliseconds. */
  readonly delay: <Value>(milliseconds: number, value: Value) => Promise<Value>;
  /** Requests that pending promise reactions run before time advances. */
  readonly requestFlush: () => void;
  /** Advances time to a moment in milliseconds and runs the actions that are due. */
  readonly run: (until: number) => Promise<void>;
}

/** Waits until the reactions of settled promises have run. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Creates virtual time that starts at 0 ms.
 *
 * @returns the time
 * @example
 * const time = createVirtualTime();
 * time.schedule(5, () => undefined);
 * await time.run(10);
 */
export function createVirtualTime(): VirtualTime {
  const queue = createEventQueue(0);
  let isFlushRequested = false;
  const requestFlush = (): void => {
    isFlushRequested = true;
  };
  const schedule: Clock['schedule'] = (milliseconds, action) => {
    let isCancelled = false;
    queue.schedule(milliseconds, () => {
      if (isCancelled) return;
      requestFlush();
      action();
    });
    return () => {
      isCancelled = true;
    };
  };
  return {
    now: queue.now,
    requestFlush,
    schedule,
    // Messages arrive by actions of their own, none of which is late.
    scheduleAfterReads: schedule,
    delay: (milliseconds, value) =>
      new Promise((resolve) => {
        queue.schedule(milliseconds, () => {
          requestFlush();
          resolve(value);
        });
      }),
    run: async (until) => {
      await flushPromises();
      while (queue.runNext(until)) {
        if (!isFlushRequested) continue;
        isFlushRequested = false;
        await flushPromises();
      }
      queue.runUntil(until);
    },
  };
}
