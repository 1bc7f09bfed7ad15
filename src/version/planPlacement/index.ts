/**
 * Plan of which endpoint holds which layers of a model.
 */
import { computePassTime } from '../../request/choosePath/index.js';
import type { AcceleratorKind, LayeredModel, LayerRange } from '../../types/site/index.js';

/** An endpoint that a plan may use. */
export interface PlacedEndpoint {
  readonly id: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
  /** Layers that it holds or has been ordered to hold; undefined when it is empty. */
  readonly range?: LayerRange | undefined;
  /** It has an order under way and takes no other now. */
  readonly isBusy: boolean;
}

/** Ranges to order, by endpoint. */
export type Placement = ReadonlyMap<string, LayerRange>;

const MEGABYTE = 1_000_000;
/** Candidate numbers of tokens for which memory is kept beside the layers. */
const ROOM_STEP_TOKENS = 10_000;
const LEAST_ROOM_TOKENS = 30_000;
const MOST_ROOM_TOKENS = 200_000;
/** Room that an endpoint keeps when it takes over layers of a lost one. */
const REPAIR_ROOM_TOKENS = 75_000;
/** Rooms that are tried when layers would otherwise be missing. */
const SMALLER_ROOMS_TOKENS = [60_000, 30_000] as const;
/** Room that an endpoint keeps when no other way is left to hold a layer. */
const LEAST_REPAIR_ROOM_TOKENS = 30_000;
/** Longest time between events that a plan aims at, in milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 150;
/** Factor on a pass for the wait for the pass that is running. */
const WAIT_FACTOR = 1.4;
const HOP_MILLISECONDS = 1.5;

function countLayers(model: LayeredModel, memoryMegabytes: number, roomTokens: number): number {
  const tokenMegabytes = model.tokenBytes / model.layers / MEGABYTE;
  return Math.floor(memoryMegabytes / (model.layerMegabytes + roomTokens * tokenMegabytes));
}

interface ChainPlan {
  readonly ranges: Map<string, LayerRange>;
  readonly throughput: number;
}

/** Lays out one copy of the layers over endpoints in order, with room for a number of tokens. */
function layOutChain(
  model: LayeredModel,
  ordered: readonly PlacedEndpoint[],
  roomTokens: number,
): ChainPlan | undefined {
  const ranges = new Map<string, LayerRange>();
  let layer = 0;
  let paceLayers = 0;
  for (const { id, kind } of ordered) {
    if (layer >= model.layers) break;
    const count = Math.min(
      model.layers - layer,
      countLayers(model, kind.memoryMegabytes, roomTokens),
    );
    if (count <= 0) continue;
    ranges.set(id, { from: layer, to: layer + count });
    layer += count;
    paceLayers += kind.pace * count;
  }
  if (layer < model.layers) return undefined;
  const requestTokens = model.usualPromptTokens + model.usualAnswerTokens;
  const requests = Math.min(model.slots, roomTokens / requestTokens);
  const meanKind = { name: '', memoryMegabytes: 0, readFactor: 1, pace: paceLayers / model.layers };
  const pause =
    computePassTime(model, meanKind, requests) * WAIT_FACTOR + ranges.size * HOP_MILLISECONDS;
  const events = 1 + model.usualAnswerTokens / model.stride;
  const slowdown = Math.max(1, pause / LONGEST_PAUSE_MILLISECONDS);
  return { ranges, throughput: requests / (events * pause * slowdown) };
}

function orderBySpeed(endpoints: readonly PlacedEndpoint[]): PlacedEndpoint[] {
  return [...endpoints].sort(
    (left, right) => left.kind.pace - right.kind.pace || left.id.localeCompare(right.id),
  );
}

function planChain(
  model: LayeredModel,
  endpoints: readonly PlacedEndpoint[],
): ChainPlan | undefined {
  const ordered = orderBySpeed(endpoints);
  let best: ChainPlan | undefined;
  for (let room = LEAST_ROOM_TOKENS; room <= MOST_ROOM_TOKENS; room += ROOM_STEP_TOKENS) {
    const plan = layOutChain(model, ordered, room);
    if (plan && (!best || plan.throughput > best.throughput)) best = plan;
  }
  return best;
}

function countCover(model: LayeredModel, ranges: Iterable<LayerRange>): number[] {
  const cover = new Array<number>(model.layers).fill(0);
  for (const range of ranges) {
    for (let layer = range.from; layer < range.to; layer += 1)
      cover[layer] = (cover[layer] ?? 0) + 1;
  }
  return cover;
}

/** Finds the window of a width whose layers have the fewest copies. */
function findLeastCovered(cover: readonly number[], width: number): LayerRange {
  let best = 0;
  let bestSum = Number.POSITIVE_INFINITY;
  for (let from = 0; from + width <= cover.length; from += 1) {
    let sum = 0;
    for (let layer = from; layer < from + width; layer += 1) sum += 3 ** -(cover[layer] ?? 0);
    const need = -sum;
    if (need >= bestSum) continue;
    bestSum = need;
    best = from;
  }
  return { from: best, to: best + width };
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
  zone: readonly PlacedEndpoint[],
  held: ReadonlyMap<string, LayerRange>,
  orders: Placement,
): PlacedEndpoint | undefined {
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
  zone: readonly PlacedEndpoint[],
  held: Map<string, LayerRange>,
  orders: Map<string, LayerRange>,
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
  zone: readonly PlacedEndpoint[],
  held: ReadonlyMap<string, LayerRange>,
  roomTokens: number,
): { readonly orders: Map<string, LayerRange>; readonly held: Map<string, LayerRange> } {
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

/** Fills gaps with as much room as leaves none, or with the least room where some remain. */
function repairGaps(
  model: LayeredModel,
  zone: readonly PlacedEndpoint[],
  held: ReadonlyMap<string, LayerRange>,
): ReturnType<typeof fillGaps> {
  let repaired = fillGaps(model, zone, held, REPAIR_ROOM_TOKENS);
  for (const roomTokens of SMALLER_ROOMS_TOKENS) {
    if (!findGap(countCover(model, repaired.held.values()))) break;
    repaired = fillGaps(model, zone, held, roomTokens);
  }
  return repaired;
}

function planZone(
  model: LayeredModel,
  zone: readonly PlacedEndpoint[],
  orders: Map<string, LayerRange>,
): void {
  const kept = new Map<string, LayerRange>();
  for (const { id, range } of zone) if (range) kept.set(id, range);
  if (kept.size === 0) {
    const chain = planChain(model, zone);
    for (const [id, range] of chain?.ranges ?? []) {
      orders.set(id, range);
      kept.set(id, range);
    }
  }
  const repaired = repairGaps(model, zone, kept);
  const { held } = repaired;
  for (const [id, range] of repaired.orders) orders.set(id, range);
  extendNeighbours(model, zone, held, orders);
  for (const { id, kind, isBusy } of orderBySpeed(zone)) {
    if (held.has(id) || isBusy) continue;
    const width = Math.min(
      model.layers,
      countLayers(model, kind.memoryMegabytes, REPAIR_ROOM_TOKENS),
    );
    if (width <= 0) continue;
    const range = findLeastCovered(countCover(model, held.values()), width);
    orders.set(id, range);
    held.set(id, range);
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
  endpoints: readonly PlacedEndpoint[],
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
