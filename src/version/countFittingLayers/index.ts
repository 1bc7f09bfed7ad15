/**
 * Layers that fit an accelerator.
 */
import type { LayeredModel } from '../../types/site/index.js';

const MEGABYTE = 1_000_000;

/**
 * Counts the layers that fit an accelerator beside room for requests.
 *
 * @param model - the model
 * @param memoryMegabytes - the accelerator's memory
 * @param freeTokens - tokens for which each layer keeps memory
 * @returns the number of layers
 * @example
 * countFittingLayers(model, 14_400, 75_000);
 */
export function countFittingLayers(
  model: LayeredModel,
  memoryMegabytes: number,
  freeTokens: number,
): number {
  const tokenMegabytes = model.tokenBytes / model.layers / MEGABYTE;
  return Math.floor(memoryMegabytes / (model.layerMegabytes + freeTokens * tokenMegabytes));
}
