/**
 * Plan of one copy of a model's layers.
 */
import { computePassTime } from '../../request/computePassTime/index.js';
import type { PlacementCandidate } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countFittingLayers } from '../countFittingLayers/index.js';
import { orderBySpeed } from '../orderBySpeed/index.js';

/** Candidate numbers of tokens for which memory is kept beside the layers. */
const FREE_TOKENS_STEP = 10_000;
const MINIMUM_FREE_TOKENS = 30_000;
const MAXIMUM_FREE_TOKENS = 200_000;
/** Longest time between events that a plan aims at, in milliseconds. */
const TARGET_EVENT_INTERVAL_MILLISECONDS = 150;
/** Factor on a pass for the wait for the pass that is running. */
const WAIT_FACTOR = 1.4;
const HOP_MILLISECONDS = 1.5;

/** One copy of the layers. */
export interface ChainPlan {
  readonly ranges: Map<string, LayerRange>;
  readonly throughput: number;
}

/** Lays out one copy of the layers over endpoints in order, with room for a number of tokens. */
function layOutLayers(
  model: LayeredModel,
  ordered: readonly PlacementCandidate[],
  freeTokens: number,
): ChainPlan | undefined {
  const ranges = new Map<string, LayerRange>();
  let layer = 0;
  let slowdownSum = 0;
  for (const { id, kind } of ordered) {
    if (layer >= model.layers) break;
    const count = Math.min(
      model.layers - layer,
      countFittingLayers(model, kind.memoryMegabytes, freeTokens),
    );
    if (count <= 0) continue;
    ranges.set(id, { from: layer, to: layer + count });
    layer += count;
    slowdownSum += kind.pace * count;
  }
  if (layer < model.layers) return undefined;
  const requestTokens = model.usualPromptTokens + model.usualAnswerTokens;
  const requests = Math.min(model.slots, freeTokens / requestTokens);
  const meanKind = {
    name: '',
    memoryMegabytes: 0,
    readFactor: 1,
    pace: slowdownSum / model.layers,
  };
  const eventInterval =
    computePassTime(model, meanKind, requests) * WAIT_FACTOR + ranges.size * HOP_MILLISECONDS;
  const events = 1 + model.usualAnswerTokens / model.stride;
  const slowdown = Math.max(1, eventInterval / TARGET_EVENT_INTERVAL_MILLISECONDS);
  return { ranges, throughput: requests / (events * eventInterval * slowdown) };
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
  for (
    let freeTokens = MINIMUM_FREE_TOKENS;
    freeTokens <= MAXIMUM_FREE_TOKENS;
    freeTokens += FREE_TOKENS_STEP
  ) {
    const plan = layOutLayers(model, ordered, freeTokens);
    if (plan && (!best || plan.throughput > best.throughput)) best = plan;
  }
  return best;
}
