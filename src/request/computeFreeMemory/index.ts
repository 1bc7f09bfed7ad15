/**
 * KV-cache memory of an endpoint.
 */
import type { LayeredModel } from '../../types/site/index.js';

const MEGABYTE = 1_000_000;

/**
 * Computes the memory that an endpoint has for requests next to its layers.
 *
 * @param model - the model
 * @param memoryMegabytes - memory of the accelerator in megabytes
 * @param layers - number of layers that the endpoint hosts
 * @returns the memory in token-layers (the KV cache of one token in one layer)
 * @example
 * computeFreeMemory(model, 14_400, 6);
 */
export function computeFreeMemory(
  model: LayeredModel,
  memoryMegabytes: number,
  layers: number,
): number {
  const freeMegabytes = memoryMegabytes - layers * model.layerMegabytes;
  return Math.max(0, (freeMegabytes * MEGABYTE * model.layers) / model.tokenBytes);
}
