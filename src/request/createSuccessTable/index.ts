/**
 * Table of the last success of each part, of bounded size.
 */
import type { PartTime } from '../../types/breaker/index.js';

/** Last successes by part. */
export interface SuccessTable {
  /** Sets the time of a success in milliseconds; returns false when a later one is known. */
  readonly set: (part: string, at: number) => boolean;
  readonly get: (part: string) => number | undefined;
  readonly has: (part: string) => boolean;
  /** Lists the parts with the most recently set successes. */
  readonly listLatest: (count: number) => PartTime[];
}

const MAXIMUM_PARTS = 4_096;

/**
 * Creates an empty table, which drops the part whose success was set least recently when it is full.
 *
 * @returns the table
 * @example
 * createSuccessTable().set('a1', 900); // true
 */
export function createSuccessTable(): SuccessTable {
  const successes = new Map<string, number>();
  return {
    set: (part, at) => {
      if (at <= (successes.get(part) ?? Number.NEGATIVE_INFINITY)) return false;
      successes.delete(part);
      successes.set(part, at);
      const [oldest] = successes.keys();
      if (successes.size > MAXIMUM_PARTS && oldest !== undefined) successes.delete(oldest);
      return true;
    },
    get: (part) => successes.get(part),
    has: (part) => successes.has(part),
    listLatest: (count) => [...successes].slice(-count).map(([part, at]) => ({ part, at })),
  };
}
