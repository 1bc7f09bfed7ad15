/**
 * Placement of a model's layers on endpoints.
 */
import type { PlacementCandidate, Placement } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countLayerCopies } from '../countLayerCopies/index.js';
import { countFittingLayers } from '../countFittingLayers/index.js';
import { sortBySpeed } from '../sortBySpeed/index.js';
import { planChain } from '../planChain/index.js';
import { REPAIR_FREE_TOKENS, repairGaps } from '../repairGaps/index.js';

/** Finds the range of the given width whose layers have the fewest copies; layers with few copies weigh most. */
function findFewestCopies(copies: readonly number[], width: number): LayerRange {
  let best = 0;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (let from = 0; from + width <= copies.length; from += 1) {
    let weight = 0;
    for (let layer = from; layer < from + width; layer += 1) weight += 3 ** -(copies[layer] ?? 0);
    const cost = -weight;
    if (cost >= lowestCost) continue;
    lowestCost = cost;
    best = from;
  }
  return { from: best, to: best + width };
}

function planZone(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  orders: Map<string, LayerRange>,
): void {
  const keptRanges = new Map<string, LayerRange>();
  for (const { id, range } of zone) if (range) keptRanges.set(id, range);
  if (keptRanges.size === 0) {
    const chain = planChain(model, zone);
    for (const [id, range] of chain?.ranges ?? []) {
      orders.set(id, range);
      keptRanges.set(id, range);
    }
  }
  const repaired = repairGaps(model, zone, keptRanges);
  const { assigned } = repaired;
  for (const [id, range] of repaired.orders) orders.set(id, range);
  for (const { id, kind, isBusy } of sortBySpeed(zone)) {
    if (assigned.has(id) || isBusy) continue;
    const width = Math.min(
      model.layers,
      countFittingLayers(model, kind.memoryMegabytes, REPAIR_FREE_TOKENS),
    );
    if (width <= 0) continue;
    const range = findFewestCopies(countLayerCopies(model, assigned.values()), width);
    orders.set(id, range);
    assigned.set(id, range);
  }
}

/**
 * Plans the layer ranges that endpoints have to load.
 *
 * Each availability zone gets a complete copy of the layers, so that requests do not need the links
 * between zones. Missing layers are assigned first, to empty endpoints and then to endpoints whose
 * layers all have another copy; the remaining empty endpoints get further copies of the layers with
 * the fewest copies. All other loaded endpoints keep their range.
 *
 * @param model - the model
 * @param endpoints - the live endpoints that are not leaving
 * @returns ranges for the endpoints that have to change
 * @example
 * planPlacement(model, endpoints).get('i-1'); // { from: 0, to: 26 }
 */
export function planPlacement(
  model: LayeredModel,
  endpoints: readonly PlacementCandidate[],
): Placement {
  const orders = new Map<string, LayerRange>();
  const zones = new Set(endpoints.map(({ availabilityZone }) => availabilityZone));
  for (const name of [...zones].sort()) {
    planZone(
      model,
      endpoints.filter(({ availabilityZone }) => availabilityZone === name),
      orders,
    );
  }
  return orders;
}
