/**
 * Ownership and clean-up of everything that has to be closed.
 */

/** Something that is owned and has to be closed. */
export interface Owned {
  readonly name: string;
  readonly close: () => void | Promise<void>;
}

/** Owner of sockets, goroutines and timers. */
export interface LifeCycle {
  /** Takes ownership; returns a function that gives it up without closing. */
  readonly own: (owned: Owned) => () => void;
  /** Closes everything in reverse order of ownership. */
  readonly close: () => Promise<void>;
  /** Names of what is still owned. */
  readonly listOwned: () => string[];
}

/**
 * Creates a life-cycle manager.
 *
 * Closing goes on when one part fails to close; the failures are thrown together at the end.
 *
 * @returns the manager
 * @example
 * const lifeCycle = createLifeCycle();
 * lifeCycle.own({ name: 'server', close: () => server.close() });
 */
export function createLifeCycle(): LifeCycle {
  const entries: Owned[] = [];
  const disown = (owned: Owned): void => {
    const position = entries.lastIndexOf(owned);
    if (position >= 0) entries.splice(position, 1);
  };
  return {
    own: (owned) => {
      entries.push(owned);
      return () => {
        disown(owned);
      };
    },
    close: async () => {
      const failures: unknown[] = [];
      for (let owned = entries.pop(); owned; owned = entries.pop()) {
        try {
          await owned.close();
        } catch (error) {
          failures.push(error);
        }
      }
      if (failures.length > 0) throw new AggregateError(failures, 'some parts failed to close');
    },
    listOwned: () => entries.map(({ name }) => name),
  };
}
