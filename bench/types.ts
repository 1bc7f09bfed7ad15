/**
 * Result types of the measurements.
 */
import type { Row } from '../src/commands/printOutput/index.js';

/** Result of a measurement: rows that are printed as a table and as JSON. */
export interface Measurement {
  readonly rows: readonly Row[];
  /** Targets that the figures are compared with. */
  readonly targets: readonly Target[];
}

/** Target with the measured value. */
export interface Target {
  readonly name: string;
  readonly target: string;
  readonly measured: string;
  readonly isMet: boolean;
}

/**
 * Rounds a value.
 *
 * @param value - the value
 * @param places - number of decimal places
 * @returns the rounded value
 * @example
 * round(1.26); // 1.3
 */
export function round(value: number, places = 1): number {
  const factor = 10 ** places;
  return Math.round(value * factor) / factor;
}
