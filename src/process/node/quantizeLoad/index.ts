/**
 * Load as nodes tell it to each other.
 */

const LOAD_STEPS_PER_DOUBLING = 2;

/**
 * Quantizes a load in half steps of its binary logarithm, so that small changes are not told.
 *
 * @param load - requests at an engine
 * @returns the nearest step, in requests
 * @example
 * quantizeLoad(10);
 */
export function quantizeLoad(load: number): number {
  const steps = Math.round(Math.log2(1 + load) * LOAD_STEPS_PER_DOUBLING);
  return Math.round(2 ** (steps / LOAD_STEPS_PER_DOUBLING) - 1);
}
