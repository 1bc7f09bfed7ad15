/**
 * Number of layers that fit in an accelerator's memory.
 */
import type { LayeredModel } from '../../types/site/index.js';

const MEGABYTE = 1_000_000;

/**
 * Counts the layers that fit in an accelerator's memory next to the KV cache.
 *
 * @param model - the model
 * @param memoryMegabytes - the accelerator's memory in megabytes
 * @param freeTokens - KV-cache memory that each layer keeps free, in tokens
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
