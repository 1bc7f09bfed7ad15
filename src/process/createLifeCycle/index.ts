/**
 * Ownership and clean-up of resources that have to be closed.
 */

/** Resource that its owner has to close. */
export interface OwnedResource {
  readonly name: string;
  readonly close: () => void | Promise<void>;
}

/** Owner of sockets, goroutines and timers. */
export interface LifeCycle {
  /** Takes ownership of a resource; returns a function that releases it without closing it. */
  readonly own: (owned: OwnedResource) => () => void;
  /** Closes everything in reverse order of ownership. */
  readonly close: () => Promise<void>;
  /** Lists the names of the resources that are still owned. */
  readonly listOwned: () => string[];
}

/**
 * Creates a life-cycle manager.
 *
 * When a resource fails to close, the others are still closed; the failures are thrown together at the
 * end.
 *
 * @returns the manager
 * @example
 * const lifeCycle = createLifeCycle();
 * lifeCycle.own({ name: 'server', close: () => server.close() });
 */
export function createLifeCycle(): LifeCycle {
  const entries: OwnedResource[] = [];
  const disown = (owned: OwnedResource): void => {
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
      if (failures.length > 0)
        throw new AggregateError(failures, `${failures.length} resources failed to close`);
    },
    listOwned: () => entries.map(({ name }) => name),
  };
}
