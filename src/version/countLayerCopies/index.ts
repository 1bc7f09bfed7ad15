/**
 * Number of copies of each layer.
 */
import type { LayeredModel, LayerRange } from '../../types/site/index.js';

/**
 * Counts the copies of each layer of the model; a range may name more than the model has.
 *
 * @param model - the model
 * @param ranges - layer ranges that endpoints host or are assigned
 * @returns number of copies, by layer
 * @example
 * countLayerCopies(model, assigned.values())[0];
 */
export function countLayerCopies(model: LayeredModel, ranges: Iterable<LayerRange>): number[] {
  const copies = new Array<number>(model.layers).fill(0);
  for (const range of ranges) {
    for (let layer = range.from; layer < Math.min(range.to, model.layers); layer += 1)
      copies[layer] = (copies[layer] ?? 0) + 1;
  }
  return copies;
}
