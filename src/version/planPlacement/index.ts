/**
 * Plan of which endpoint holds which layers of a model.
 */
import type { PlacementCandidate, Placement } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countCover } from '../countCover/index.js';
import { countFittingLayers } from '../countFittingLayers/index.js';
import { orderBySpeed } from '../orderBySpeed/index.js';
import { planChain } from '../planChain/index.js';
import { REPAIR_FREE_TOKENS, repairGaps } from '../repairGaps/index.js';

/** Finds the window of a width whose layers have the fewest copies. */
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
  for (const { id, kind, isBusy } of orderBySpeed(zone)) {
    if (assigned.has(id) || isBusy) continue;
    const width = Math.min(
      model.layers,
      countFittingLayers(model, kind.memoryMegabytes, REPAIR_FREE_TOKENS),
    );
    if (width <= 0) continue;
    const range = findFewestCopies(countCover(model, assigned.values()), width);
    orders.set(id, range);
    assigned.set(id, range);
  }
}

/**
 * Plans the ranges that endpoints have to take up.
 *
 * Each availability zone gets a whole copy of the layers, so that requests need not cross the pipes
 * between zones. Layers that nobody holds come first, taken by empty endpoints and then by those
 * whose layers have another copy; what is left over holds further copies of the rarest layers.
 * Loaded endpoints otherwise keep what they hold.
 *
 * @param model - the model
 * @param endpoints - the endpoints that live and are not leaving
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
