/**
 * Timers with identifiers.
 */

/** Timers of one node. */
export interface Timers {
  readonly set: (timer: string, delayMilliseconds: number) => void;
  readonly clear: (timer: string) => void;
  readonly close: () => void;
  readonly count: () => number;
}

/**
 * Creates timers that call back when they expire.
 *
 * @param onDue - called with the identifier of an expired timer
 * @returns the timers
 * @example
 * const timers = createTimers((timer) => feed({ kind: 'timerDue', timer }));
 */
export function createTimers(onDue: (timer: string) => void): Timers {
  const handles = new Map<string, NodeJS.Timeout>();
  return {
    set: (timer, delayMilliseconds) => {
      const due = (): void => {
        handles.delete(timer);
        onDue(timer);
      };
      handles.set(timer, setTimeout(due, delayMilliseconds));
    },
    clear: (timer) => {
      clearTimeout(handles.get(timer));
      handles.delete(timer);
    },
    close: () => {
      for (const handle of handles.values()) clearTimeout(handle);
      handles.clear();
    },
    count: () => handles.size,
  };
}
