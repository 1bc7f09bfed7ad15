/**
 * Seeded random numbers.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next number in the interval from 0 up to, but not including, 1. */
export type Random = () => number;

/** Number of first outputs that are discarded, since they correlate with the seed. */
const SKIPPED_OUTPUT_COUNT = 32;

/**
 * Creates a seeded generator of numbers between 0 and 1.
 *
 * The same seed always gives the same sequence.
 *
 * @param seed - an integer
 * @returns a function that returns the next number
 * @example
 * const random = createRandom(7);
 * random(); // the same value on every run
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_OUTPUT_COUNT; skipped += 1) generator.next();
  return () => (generator.next() >>> 0) / 4_294_967_296;
}
