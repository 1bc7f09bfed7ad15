/**
 * Plan of one complete pipeline of a model.
 */
import { computePassTime } from '../../request/computePassTime/index.js';
import type { PlacementCandidate } from '../../types/placement/index.js';
import type { LayeredModel, LayerRange } from '../../types/site/index.js';
import { countFittingLayers } from '../countFittingLayers/index.js';
import { sortBySpeed } from '../sortBySpeed/index.js';

/** Candidate sizes of the KV-cache memory kept free on each endpoint, in tokens. */
const FREE_TOKENS_STEP = 10_000;
const MINIMUM_FREE_TOKENS = 30_000;
const MAXIMUM_FREE_TOKENS = 200_000;
/** Target for the time between two events of a stream; a longer interval lowers the throughput estimate. */
const TARGET_EVENT_INTERVAL_MILLISECONDS = 150;
/** Factor on the pass time that accounts for waiting for the current pass to end. */
const WAIT_FACTOR = 1.4;
const HOP_MILLISECONDS = 1.5;

/** One complete copy of the layers; `throughput` is in requests per millisecond. */
export interface ChainPlan {
  readonly ranges: Map<string, LayerRange>;
  readonly throughput: number;
}

/** Assigns one copy of the layers to endpoints in order, each with KV-cache memory for `freeTokens`. */
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
 * Plans the copy of the layers with the highest predicted throughput.
 *
 * Each candidate size of free KV-cache memory gives one layout over the fastest endpoints; the
 * layout with the highest predicted throughput is chosen.
 *
 * @param model - the model
 * @param endpoints - endpoints that may host layers
 * @returns the plan, or undefined when the layers do not fit
 * @example
 * planChain(model, zone)?.ranges;
 */
export function planChain(
  model: LayeredModel,
  endpoints: readonly PlacementCandidate[],
): ChainPlan | undefined {
  const ordered = sortBySpeed(endpoints);
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
