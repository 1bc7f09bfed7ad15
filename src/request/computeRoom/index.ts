/**
 * Memory that an endpoint has for requests.
 */
import type { LayeredModel } from '../../types/site/index.js';

const MEGABYTE = 1_000_000;

/**
 * Computes the memory for requests on an endpoint.
 *
 * @param model - the model
 * @param memoryMegabytes - the accelerator's memory
 * @param layers - layers that the endpoint holds
 * @returns tokens times layers that fit beside the layers
 * @example
 * computeRoom(model, 14_400, 6);
 */
export function computeRoom(model: LayeredModel, memoryMegabytes: number, layers: number): number {
  const freeMegabytes = memoryMegabytes - layers * model.layerMegabytes;
  return Math.max(0, (freeMegabytes * MEGABYTE * model.layers) / model.tokenBytes);
}
