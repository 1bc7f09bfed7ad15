/**
 * Results of measurements.
 */
import type { Row } from '../src/commands/printOutput/index.js';

/** What a measurement prints: rows for a table and the same figures as JSON. */
export interface Measurement {
  readonly rows: readonly Row[];
  /** What the figures are held against. */
  readonly targets: readonly Target[];
}

/** A target with what was measured. */
export interface Target {
  readonly name: string;
  readonly target: string;
  readonly measured: string;
  readonly isMet: boolean;
}

/** Rounds to a number of places. */
export function round(value: number, places = 1): number {
  const factor = 10 ** places;
  return Math.round(value * factor) / factor;
}
