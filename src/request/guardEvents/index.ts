/**
 * Guard on the events of one answer, which may come from several runs.
 */

/** What becomes of an event. */
export type EventVerdict = 'pass' | 'drop' | 'broken';

/** Guard of one answer. */
export interface EventGuard {
  readonly check: (id: number | undefined) => EventVerdict;
  /** Number of the last event that was passed. */
  readonly getLast: () => number;
}

/**
 * Creates a guard that passes each event once and in order.
 *
 * @param last - number of the last event that the caller has; 0 when it has none
 * @returns the guard
 * @example
 * createEventGuard(0).check(1); // 'pass'
 */
export function createEventGuard(last: number): EventGuard {
  let passed = last;
  return {
    check: (id) => {
      if (id === undefined) return 'broken';
      if (id <= passed) return 'drop';
      if (id > passed + 1) return 'broken';
      passed = id;
      return 'pass';
    },
    getLast: () => passed,
  };
}
