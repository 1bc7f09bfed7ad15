/**
 * Signal that the node stops, so that open requests end with a final response.
 */

/** Signal that the node stops. */
export interface StopSignal {
  /** Returns whether the node stops. */
  readonly isRaised: () => boolean;
  /** Registers a callback for the stop; returns its removal. */
  readonly onRaised: (callback: () => void) => () => void;
  /** Raises the signal; further calls have no effect. */
  readonly raise: () => void;
}

/**
 * Creates a signal that is not raised.
 *
 * @returns the signal
 * @example
 * createStopSignal().isRaised(); // false
 */
export function createStopSignal(): StopSignal {
  const callbacks = new Set<() => void>();
  let isRaised = false;
  return {
    isRaised: () => isRaised,
    onRaised: (callback) => {
      callbacks.add(callback);
      return () => {
        callbacks.delete(callback);
      };
    },
    raise: () => {
      if (isRaised) return;
      isRaised = true;
      for (const callback of [...callbacks]) callback();
    },
  };
}
