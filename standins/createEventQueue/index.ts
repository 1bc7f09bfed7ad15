/**
 * Priority queue of actions, ordered by virtual time.
 */

/** Priority queue of actions; times are in milliseconds. */
export interface EventQueue {
  /** Returns the virtual time. */
  readonly now: () => number;
  readonly schedule: (delayMilliseconds: number, action: () => void) => void;
  /** Runs the next action if it is due by a time; returns false when none is. */
  readonly runNext: (timeMilliseconds: number) => boolean;
  /** Runs all actions that are due by a time, and advances virtual time to it. */
  readonly runUntil: (timeMilliseconds: number) => void;
}

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

function isBefore(left: Entry, right: Entry): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/**
 * Creates an empty queue.
 *
 * Implemented as a binary heap. Actions that are due at the same time run in the order of their
 * scheduling.
 *
 * @param startMilliseconds - initial virtual time
 * @returns the queue
 * @example
 * const queue = createEventQueue(0);
 * queue.schedule(5, () => undefined);
 * queue.runUntil(10);
 */
export function createEventQueue(startMilliseconds: number): EventQueue {
  const heap: Entry[] = [];
  let now = startMilliseconds;
  let order = 0;

  const read = (index: number): Entry => {
    const entry = heap[index];
    if (!entry) throw new RangeError(`event queue has no entry at index ${index}`);
    return entry;
  };
  const swap = (left: number, right: number): void => {
    const moved = read(left);
    heap[left] = read(right);
    heap[right] = moved;
  };
  const isEarlier = (left: number, right: number): boolean => isBefore(read(left), read(right));
  const siftUp = (start: number): void => {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(index, parent)) return;
      swap(index, parent);
      index = parent;
    }
  };
  const siftDown = (): void => {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= heap.length) return;
      const right = left + 1;
      const child = right < heap.length && isEarlier(right, left) ? right : left;
      if (!isEarlier(child, index)) return;
      swap(index, child);
      index = child;
    }
  };
  const removeFirst = (): Entry | undefined => {
    const [first] = heap;
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    siftDown();
    return first;
  };

  const runNext = (timeMilliseconds: number): boolean => {
    if (!heap[0] || heap[0].at > timeMilliseconds) return false;
    const entry = removeFirst();
    if (!entry) return false;
    now = entry.at;
    entry.action();
    return true;
  };

  return {
    now: () => now,
    schedule: (delayMilliseconds, action) => {
      order += 1;
      heap.push({ at: now + Math.max(0, delayMilliseconds), order, action });
      siftUp(heap.length - 1);
    },
    runNext,
    runUntil: (timeMilliseconds) => {
      while (runNext(timeMilliseconds));
      now = timeMilliseconds;
    },
  };
}
