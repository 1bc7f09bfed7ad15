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
 * @param onFailure - called with what a callback throws; the other callbacks are called all the same
 * @returns the signal
 * @example
 * createStopSignal(console.error).isRaised(); // false
 */
export function createStopSignal(onFailure: (error: unknown) => void): StopSignal {
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
      for (const callback of [...callbacks]) {
        try {
          callback();
        } catch (error) {
          onFailure(error);
        }
      }
    },
  };
}
