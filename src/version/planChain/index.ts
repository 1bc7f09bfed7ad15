/**
 * Plan of one copy of a model's layers.
 */
import { computePassTime } from '../../request/computePassTime/index.js';
import type { PlacementCandidate } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countLayers } from '../countLayers/index.js';
import { orderBySpeed } from '../orderBySpeed/index.js';

/** Candidate numbers of tokens for which memory is kept beside the layers. */
const ROOM_STEP_TOKENS = 10_000;
const LEAST_ROOM_TOKENS = 30_000;
const MOST_ROOM_TOKENS = 200_000;
/** Longest time between events that a plan aims at, in milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 150;
/** Factor on a pass for the wait for the pass that is running. */
const WAIT_FACTOR = 1.4;
const HOP_MILLISECONDS = 1.5;

/** One copy of the layers. */
export interface ChainPlan {
  readonly ranges: Map<string, LayerRange>;
  readonly throughput: number;
}

/** Lays out one copy of the layers over endpoints in order, with room for a number of tokens. */
function layOutChain(
  model: LayeredModel,
  ordered: readonly PlacementCandidate[],
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

/**
 * Plans the copy of the layers that answers the most requests.
 *
 * Each candidate size of room for requests gives one layout over the fastest endpoints; the one
 * with the highest predicted throughput is taken.
 *
 * @param model - the model
 * @param endpoints - endpoints that may hold layers
 * @returns the copy, or undefined when the layers do not fit
 * @example
 * planChain(model, zone)?.ranges;
 */
export function planChain(
  model: LayeredModel,
  endpoints: readonly PlacementCandidate[],
): ChainPlan | undefined {
  const ordered = orderBySpeed(endpoints);
  let best: ChainPlan | undefined;
  for (let room = LEAST_ROOM_TOKENS; room <= MOST_ROOM_TOKENS; room += ROOM_STEP_TOKENS) {
    const plan = layOutChain(model, ordered, room);
    if (plan && (!best || plan.throughput > best.throughput)) best = plan;
  }
  return best;
}
