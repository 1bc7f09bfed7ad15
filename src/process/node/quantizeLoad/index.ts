/**
 * Quantization of the load that nodes publish.
 */

const LOAD_STEPS_PER_DOUBLING = 2;

/**
 * Quantizes a load in half steps of its binary logarithm, so that small changes are not published.
 *
 * @param load - number of active requests at an engine
 * @returns the nearest step, as a number of requests
 * @example
 * quantizeLoad(10);
 */
export function quantizeLoad(load: number): number {
  const steps = Math.round(Math.log2(1 + load) * LOAD_STEPS_PER_DOUBLING);
  return Math.round(2 ** (steps / LOAD_STEPS_PER_DOUBLING) - 1);
}
