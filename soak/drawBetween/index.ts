/**
 * Draws of whole numbers between two bounds.
 */
import type { Random } from '../../src/process/createRandom/index.js';

/**
 * Draws a whole number.
 *
 * @param random - generator of numbers from 0 to 1
 * @param minimum - lowest number
 * @param maximum - highest number, in the same unit
 * @returns the number
 * @example
 * drawBetween(createRandom(7), 200, 3_000);
 */
export function drawBetween(random: Random, minimum: number, maximum: number): number {
  return Math.round(minimum + (maximum - minimum) * random());
}
