/**
 * Seeded random numbers.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next number in the interval from 0 up to, but not including, 1. */
export type Random = () => number;

/** The first outputs follow the seed closely, so they are not used. */
const SKIPPED_OUTPUTS = 32;

/**
 * Creates a seeded generator of numbers between 0 and 1.
 *
 * The same seed always gives the same sequence.
 *
 * @param seed - a whole number
 * @returns a function that returns the next number
 * @example
 * const random = createRandom(7);
 * random(); // the same value on every run
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_OUTPUTS; skipped += 1) generator.next();
  return () => (generator.next() >>> 0) / 4_294_967_296;
}
