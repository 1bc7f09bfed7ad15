/**
 * Capacity of a service whose requests run on paths through the layers of a model.
 */
import type { AcceleratorKind, LayeredModel, LayerRange } from '../../types/site/index.js';
import type { ServiceCapacity } from '../computeAdmissionShares/index.js';
import { computeFreeMemory } from '../computeFreeMemory/index.js';
import { computePassTime } from '../computePassTime/index.js';

/** An endpoint that accepts requests. */
export interface CapacityEndpoint {
  readonly kind: AcceleratorKind;
  readonly range: LayerRange;
}

/** Share of the slots that are filled in the estimate of the stay. */
const FILLED_SHARE = 0.5;

/**
 * Computes the slots and the memory of all endpoints of a service.
 *
 * Each request needs a slot at an endpoint that hosts the first layer, and memory for every layer, so that the layer
 * with the least memory limits the requests.
 *
 * @param model - the model
 * @param endpoints - the endpoints that accept requests
 * @returns the number of slots, and the memory in token-layers
 * @example
 * computeServiceCapacity(model, endpoints).slots;
 */
export function computeServiceCapacity(
  model: LayeredModel,
  endpoints: readonly CapacityEndpoint[],
): ServiceCapacity {
  const tokensByLayer = new Array<number>(model.layers).fill(0);
  let firstEndpoints = 0;
  for (const { kind, range } of endpoints) {
    const layers = range.to - range.from;
    if (layers <= 0) continue;
    if (range.from === 0) firstEndpoints += 1;
    const tokens = computeFreeMemory(model, kind.memoryMegabytes, layers) / layers;
    for (let layer = range.from; layer < Math.min(range.to, model.layers); layer += 1)
      tokensByLayer[layer] = (tokensByLayer[layer] ?? 0) + tokens;
  }
  return {
    slots: model.slots * firstEndpoints,
    tokenLayers: model.layers * Math.min(...tokensByLayer),
  };
}

/**
 * Estimates how long a usual request stays on endpoints of which half of the slots are in use.
 *
 * @param model - the model
 * @param endpoints - the endpoints that accept requests
 * @returns the time in milliseconds; 0 without endpoints
 * @example
 * estimateStay(model, endpoints);
 */
export function estimateStay(model: LayeredModel, endpoints: readonly CapacityEndpoint[]): number {
  if (endpoints.length === 0) return 0;
  const passes = 1 + model.usualAnswerTokens / model.stride;
  const requests = model.slots * FILLED_SHARE;
  const passTimes = endpoints.map(({ kind }) => computePassTime(model, kind, requests));
  const mean = passTimes.reduce((sum, time) => sum + time, 0) / passTimes.length;
  return passes * mean;
}
