/**
 * Check of the events of one answer, which may come from several runs.
 */

/** Result of the check of an event: forward it, drop a duplicate, or fail the run. */
export type EventCheckResult = 'pass' | 'drop' | 'broken';

/** Guard of one answer. */
export interface EventGuard {
  readonly check: (id: number | undefined) => EventCheckResult;
  /** Returns the number of the last event that passed. */
  readonly getLastId: () => number;
}

/**
 * Creates a guard that lets each event pass once and in order.
 *
 * @param last - number of the last event that the caller received; 0 for none
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
    getLastId: () => passed,
  };
}
