/**
 * Time of a prompt on the pipe between two availability zones.
 */
import type { LayeredModel } from '../../types/site/index.js';

/**
 * Computes how long a prompt takes the pipe between two availability zones.
 *
 * @param model - the model
 * @param tokens - the prompt's length
 * @returns milliseconds
 * @example
 * computePipeTime(model, 760);
 */
export function computePipeTime(model: LayeredModel, tokens: number): number {
  return (tokens * model.activationBytes * 8) / (model.pipeMegabitsPerSecond * 1_000);
}
