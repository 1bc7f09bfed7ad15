/**
 * Repair of layers that nobody holds.
 */
import type { PlacementCandidate, Placement } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countCover } from '../countCover/index.js';
import { countLayers } from '../countLayers/index.js';
import { orderBySpeed } from '../orderBySpeed/index.js';

/** Room that an endpoint keeps when it takes over layers of a lost one. */
export const REPAIR_ROOM_TOKENS = 75_000;
/** Rooms that are tried when layers would otherwise be missing. */
const SMALLER_ROOMS_TOKENS = [60_000, 30_000] as const;
/** Room that an endpoint keeps when no other way is left to hold a layer. */
const LEAST_REPAIR_ROOM_TOKENS = 30_000;

/** Orders of a repair, and what is held when they are done. */
export interface GapRepair {
  readonly orders: Map<string, LayerRange>;
  readonly held: Map<string, LayerRange>;
}

function findGap(cover: readonly number[]): LayerRange | undefined {
  const from = cover.indexOf(0);
  if (from < 0) return undefined;
  let to = from;
  while (to < cover.length && cover[to] === 0) to += 1;
  return { from, to };
}

/** Picks an endpoint for a gap: an empty one, else one whose layers all have another copy. */
function pickForGap(
  cover: readonly number[],
  zone: readonly PlacementCandidate[],
  held: ReadonlyMap<string, LayerRange>,
  orders: Placement,
): PlacementCandidate | undefined {
  const free = orderBySpeed(zone.filter(({ id, isBusy }) => !isBusy && !orders.has(id)));
  const empty = free.find(({ id }) => !held.has(id));
  if (empty) return empty;
  return free.reverse().find(({ id }) => {
    const range = held.get(id);
    if (!range) return false;
    return cover.slice(range.from, range.to).every((count) => count > 1);
  });
}

/** Lets the neighbours of a gap take as many of its layers as they have memory for. */
function extendNeighbours(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  { held, orders }: GapRepair,
): void {
  for (const { id, kind, isBusy } of orderBySpeed(zone)) {
    const gap = findGap(countCover(model, held.values()));
    const range = held.get(id);
    if (!gap) return;
    if (!range || isBusy || orders.has(id)) continue;
    const most = countLayers(model, kind.memoryMegabytes, LEAST_REPAIR_ROOM_TOKENS);
    const more = most - (range.to - range.from);
    if (more <= 0) continue;
    const upwards =
      range.to === gap.from ? { ...range, to: Math.min(gap.to, range.to + more) } : undefined;
    const downwards =
      range.from === gap.to ? { ...range, from: Math.max(gap.from, range.from - more) } : undefined;
    const extended = upwards ?? downwards;
    if (!extended) continue;
    orders.set(id, extended);
    held.set(id, extended);
  }
}

/** Fills gaps with a room for requests on each endpoint that takes one; returns what is then held. */
function fillGaps(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  held: ReadonlyMap<string, LayerRange>,
  roomTokens: number,
): GapRepair {
  const orders = new Map<string, LayerRange>();
  const filled = new Map(held);
  for (;;) {
    const cover = countCover(model, filled.values());
    const gap = findGap(cover);
    const endpoint = gap && pickForGap(cover, zone, filled, orders);
    if (!gap || !endpoint) return { orders, held: filled };
    const most = countLayers(model, endpoint.kind.memoryMegabytes, roomTokens);
    if (most <= 0) return { orders, held: filled };
    const range = { from: gap.from, to: Math.min(gap.to, gap.from + most) };
    orders.set(endpoint.id, range);
    filled.set(endpoint.id, range);
  }
}

/**
 * Repairs the gaps of one availability zone.
 *
 * Empty endpoints take a gap first, then those whose layers all have another copy, with as much
 * room for requests as leaves no gap; last, the neighbours of a gap take as many of its layers as
 * they have memory for.
 *
 * @param model - the model
 * @param zone - the zone's endpoints
 * @param held - ranges that are held or ordered, by endpoint
 * @returns the orders, and what is held when they are done
 * @example
 * repairGaps(model, zone, held).orders;
 */
export function repairGaps(
  model: LayeredModel,
  zone: readonly PlacementCandidate[],
  held: ReadonlyMap<string, LayerRange>,
): GapRepair {
  let repaired = fillGaps(model, zone, held, REPAIR_ROOM_TOKENS);
  for (const roomTokens of SMALLER_ROOMS_TOKENS) {
    if (!findGap(countCover(model, repaired.held.values()))) break;
    repaired = fillGaps(model, zone, held, roomTokens);
  }
  extendNeighbours(model, zone, repaired);
  return repaired;
}
