/**
 * Transfer time of a prompt on the link between two availability zones.
 */
import type { LayeredModel } from '../../types/site/index.js';

/**
 * Computes how long the activations of a prompt occupy the link between two availability zones.
 *
 * @param model - the model
 * @param tokens - length of the prompt in tokens
 * @returns the transfer time in milliseconds
 * @example
 * computeZoneLinkTime(model, 760);
 */
export function computeZoneLinkTime(model: LayeredModel, tokens: number): number {
  return (tokens * model.activationBytes * 8) / (model.pipeMegabitsPerSecond * 1_000);
}
