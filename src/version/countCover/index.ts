/**
 * Copies of each layer.
 */
import type { LayeredModel, LayerRange } from '../../types/site/index.js';

/**
 * Counts how often each layer is held.
 *
 * @param model - the model
 * @param ranges - ranges that are held
 * @returns copies by layer
 * @example
 * countCover(model, held.values())[0];
 */
export function countCover(model: LayeredModel, ranges: Iterable<LayerRange>): number[] {
  const copies = new Array<number>(model.layers).fill(0);
  for (const range of ranges) {
    for (let layer = range.from; layer < range.to; layer += 1)
      copies[layer] = (copies[layer] ?? 0) + 1;
  }
  return copies;
}
