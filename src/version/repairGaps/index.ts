/**
 * Reassignment of layers that no endpoint hosts.
 */
import type { PlacementCandidate, Placement } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countLayerCopies } from '../countLayerCopies/index.js';
import { countFittingLayers } from '../countFittingLayers/index.js';
import { sortBySpeed } from '../sortBySpeed/index.js';

/** KV-cache memory that an endpoint keeps free when it takes over layers, in tokens. */
export const REPAIR_FREE_TOKENS = 75_000;
/** Smaller sizes of free KV-cache memory, tried in order while layers are still missing. */
const REDUCED_FREE_TOKENS = [60_000, 30_000] as const;
/** Free KV-cache memory of an endpoint whose range is extended as the last resort, in tokens. */
const MINIMUM_REPAIR_FREE_TOKENS = 30_000;

/** Orders of a repair, and the ranges of all endpoints once the orders are completed, by endpoint. */
export interface GapRepair {
  readonly orders: Map<string, LayerRange>;
  readonly assigned: Map<string, LayerRange>;
}

function findGap(copies: readonly number[]): LayerRange | undefined {
  const from = copies.indexOf(0);
  if (from < 0) return undefined;
  let to = from;
  while (to < copies.length && copies[to] === 0) to += 1;
  return { from, to };
}

/** Picks an endpoint for a gap: an empty one, otherwise one whose layers all have another copy. */
function pickEndpointForGap(
  copies: readonly number[],
  zone: readonly PlacementCandidate[],
  assigned: ReadonlyMap<string, LayerRange>,
  orders: Placement,
): PlacementCandidate | undefined {
  const free = sortBySpeed(zone.filter(({ id, isBusy }) => !isBusy && !orders.has(id)));
  const empty = free.find(({ id }) => !assigned.has(id));
  if (empty) return empty;
  return free.reverse().find(({ id }) => {
    const range = assigned.get(id);
    if (!range) return false;
    return copies.slice(range.from, range.to).every((count) => count > 1);
  });
}

/** Extends the ranges adjacent to a gap by as many layers as the endpoints have memory for. */
function extendAdjacentRanges(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  { assigned, orders }: GapRepair,
): void {
  for (const { id, kind, isBusy } of sortBySpeed(zone)) {
    const gap = findGap(countLayerCopies(model, assigned.values()));
    const range = assigned.get(id);
    if (!gap) return;
    if (!range || isBusy || orders.has(id)) continue;
    const maximumLayers = countFittingLayers(
      model,
      kind.memoryMegabytes,
      MINIMUM_REPAIR_FREE_TOKENS,
    );
    const additionalLayers = maximumLayers - (range.to - range.from);
    if (additionalLayers <= 0) continue;
    const extendedUp =
      range.to === gap.from
        ? { ...range, to: Math.min(gap.to, range.to + additionalLayers) }
        : undefined;
    const extendedDown =
      range.from === gap.to
        ? { ...range, from: Math.max(gap.from, range.from - additionalLayers) }
        : undefined;
    const extended = extendedUp ?? extendedDown;
    if (!extended) continue;
    orders.set(id, extended);
    assigned.set(id, extended);
  }
}

/** Fills gaps, with KV-cache memory for `freeTokens` on each endpoint that takes over layers. */
function fillGaps(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  assigned: ReadonlyMap<string, LayerRange>,
  freeTokens: number,
): GapRepair {
  const orders = new Map<string, LayerRange>();
  const filled = new Map(assigned);
  for (;;) {
    const copies = countLayerCopies(model, filled.values());
    const gap = findGap(copies);
    const endpoint = gap && pickEndpointForGap(copies, zone, filled, orders);
    if (!gap || !endpoint) return { orders, assigned: filled };
    const maximumLayers = countFittingLayers(model, endpoint.kind.memoryMegabytes, freeTokens);
    if (maximumLayers <= 0) return { orders, assigned: filled };
    const range = { from: gap.from, to: Math.min(gap.to, gap.from + maximumLayers) };
    orders.set(endpoint.id, range);
    filled.set(endpoint.id, range);
  }
}

/**
 * Repairs the gaps of one availability zone.
 *
 * A gap is assigned to empty endpoints first, then to endpoints whose layers all have another copy,
 * with the largest amount of free KV-cache memory that leaves no gap. As the last resort, endpoints
 * with a range adjacent to a gap take as many of its layers as they have memory for.
 *
 * @param model - the model
 * @param zone - the zone's endpoints
 * @param assigned - ranges that are hosted or ordered, by endpoint
 * @returns the orders, and the assigned ranges once the orders are completed
 * @example
 * repairGaps(model, zone, assigned).orders;
 */
export function repairGaps(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  assigned: ReadonlyMap<string, LayerRange>,
): GapRepair {
  let repaired = fillGaps(model, zone, assigned, REPAIR_FREE_TOKENS);
  for (const freeTokens of REDUCED_FREE_TOKENS) {
    if (!findGap(countLayerCopies(model, repaired.assigned.values()))) break;
    repaired = fillGaps(model, zone, assigned, freeTokens);
  }
  extendAdjacentRanges(model, zone, repaired);
  return repaired;
}
