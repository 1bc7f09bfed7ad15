/**
 * Choice of the path of a request: the endpoints in order, each with a range of layers to run.
 */
import type {
  AcceleratorKind,
  LayeredModel,
  LayerRange,
  NodeRecord,
  PathHop,
} from '../../types/site/index.js';
import { computePassTime } from '../computePassTime/index.js';
import { computeZoneLinkTime } from '../computeZoneLinkTime/index.js';
import { computePrefillTime } from '../computePrefillTime/index.js';
import { computeFreeMemory } from '../computeFreeMemory/index.js';

/** An endpoint that hosts layers and accepts requests. */
export interface PathCandidate {
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
  readonly range: LayerRange;
  /** Number of requests that run on the endpoint. */
  readonly requests: number;
  /** KV-cache memory that these requests use, in token-layers. */
  readonly usedTokenLayers: number;
  /** Factor on the normal step time; 1 is normal. */
  readonly slowdown: number;
  /**
   * Time until a request may be sent there as to the first endpoint of a path, in milliseconds; 0 by default,
   * infinite where no path may begin.
   */
  readonly startWaitMilliseconds?: number;
}

/** Options of {@link choosePath}. */
export interface ChoosePathOptions {
  readonly model: LayeredModel;
  readonly candidates: readonly PathCandidate[];
  /** Availability zone that receives the response. */
  readonly availabilityZone: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** First hop that the path must keep, if any, with its availability zone. */
  readonly firstHop?: { readonly hop: PathHop; readonly availabilityZone: string } | undefined;
  /** Estimates how long a transfer waits for the link between two availability zones, in milliseconds. */
  readonly estimateZoneLinkWait?: (from: string, to: string) => number;
  /** Number of nodes that choose paths over the same endpoints. */
  readonly nodes?: number;
  /** Share of the slots and of the memory for requests that this request may fill; 1 by default. */
  readonly fillableShare?: number;
  /** Relative size of the random part of a hop's cost; by default, it grows with the number of nodes. */
  readonly costSpread?: number | undefined;
  /** Returns numbers from 0 to 1, which vary the costs so that nodes choose differently. */
  readonly random: () => number;
}

/** A path and its predicted times. */
export interface ChosenPath {
  readonly hops: readonly PathHop[];
  /** Predicted time to the first event, in milliseconds. */
  readonly firstEventMilliseconds: number;
  /** Predicted time between events, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** Node that chooses the path in place of this one; its only hop is that node. */
  readonly neighbour?: NodeRecord;
}

/** Time that one hop adds to each event in addition to its computing time, in milliseconds. */
const HOP_MILLISECONDS = 1;
/** Time that a hop to a remote availability zone adds to each event, in milliseconds. */
const ZONE_HOP_MILLISECONDS = 3;
/** Weight of the transfer time of a prompt on a shared zone link, which other requests also wait for. */
const ZONE_LINK_WEIGHT = 60;
/** Time that an arriving request waits for the pass that is already running, in passes. */
const WAIT_PASSES = 0.5;
/** Share of an endpoint's memory that requests may fill; it falls with each node above `NODES_WITHOUT_RESERVE`. */
const USED_MEMORY_SHARE = { maximum: 1.03, reductionPerNode: 0.0026, minimum: 0.85 } as const;
/** Share of a first endpoint's slots that requests may fill; it falls with each node above `NODES_WITHOUT_RESERVE`. */
const USED_SLOTS_SHARE = { maximum: 1, reductionPerNode: 0.0036, minimum: 0.75 } as const;
/** Number of nodes up to which load reports spread fast enough that no reserve is needed. */
const NODES_WITHOUT_RESERVE = 8;
/** Relative size of the random part of a hop's cost: minimum, increase for each node, and maximum. */
const JITTER = { minimum: 0.05, perNode: 0.004, maximum: 0.3 } as const;

/**
 * Computes the share of a capacity that requests may fill.
 *
 * Load reports reach the other nodes with a delay. The more nodes choose paths, the more load is not
 * reported yet, so the more capacity stays in reserve.
 */
function computeUsedShare(
  share: typeof USED_MEMORY_SHARE | typeof USED_SLOTS_SHARE,
  nodes: number,
): number {
  return Math.max(
    share.minimum,
    share.maximum - share.reductionPerNode * Math.max(0, nodes - NODES_WITHOUT_RESERVE),
  );
}

/** Computes the relative size of the random part of costs: the more nodes choose by the same figures, the larger. */
function computeCostSpread(nodes: number): number {
  return Math.min(JITTER.maximum, JITTER.minimum + JITTER.perNode * nodes);
}

/** A candidate with the cost of a hop through it, which grows with the number of layers. */
interface PricedCandidate {
  readonly candidate: PathCandidate;
  /** Time that one layer adds to the first event, in milliseconds. */
  readonly firstPerLayer: number;
  /** Time that one layer adds to each later event, in milliseconds. */
  readonly pausePerLayer: number;
  readonly costPerLayer: number;
  /** Cost of a hop in addition to its layers. */
  readonly costPerHop: number;
  /** Number of layers that a hop through it may run with the free memory. */
  readonly maximumLayers: number;
}

/** The cheapest path found up to a layer that ends in an availability zone. */
interface PartialPath {
  readonly cost: number;
  readonly zone: string;
  readonly step?: PathStep;
}

/** The last hop of a partial path. */
interface PathStep {
  readonly previous: PartialPath;
  readonly price: PricedCandidate;
  readonly range: LayerRange;
}

/** A layer at which some range begins or ends, with the cheapest path up to it for each availability zone. */
interface Boundary {
  readonly layer: number;
  readonly partials: PartialPath[];
}

function passesThrough(partial: PartialPath, candidate: PathCandidate): boolean {
  for (let { step } = partial; step; { step } = step.previous) {
    if (step.price.candidate === candidate) return true;
  }
  return false;
}

function listSteps(partial: PartialPath): PathStep[] {
  const steps: PathStep[] = [];
  for (let { step } = partial; step; { step } = step.previous) steps.push(step);
  return steps.reverse();
}

/** Computes the costs of all candidates, each with its own random part, so that nodes choose differently. */
function priceCandidates(options: ChoosePathOptions, events: number): PricedCandidate[] {
  const { model, candidates, promptTokens, answerTokens, random } = options;
  const { nodes = 1, fillableShare = 1, costSpread = computeCostSpread(nodes) } = options;
  const memoryShare = computeUsedShare(USED_MEMORY_SHARE, nodes) * fillableShare;
  const tokens = promptTokens + answerTokens;
  return candidates.map((candidate) => {
    const { kind, range, requests, usedTokenLayers, slowdown } = candidate;
    const factor = 1 + costSpread * random();
    const scale = slowdown / model.layers;
    const pass = computePassTime(model, kind, requests) * scale;
    const firstPerLayer =
      computePrefillTime(model, kind, promptTokens) * scale + pass * (1 + WAIT_PASSES);
    const pausePerLayer = pass * (1 + WAIT_PASSES);
    const requestMemory = computeFreeMemory(model, kind.memoryMegabytes, range.to - range.from);
    return {
      candidate,
      firstPerLayer,
      pausePerLayer,
      costPerLayer: (firstPerLayer + events * pausePerLayer) * factor,
      costPerHop: events * HOP_MILLISECONDS * factor,
      maximumLayers: (requestMemory * memoryShare - usedTokenLayers) / tokens,
    };
  });
}

/** Returns the layers at which some range begins or ends, in order. */
function listBoundaries({ model, candidates, firstHop }: ChoosePathOptions): Boundary[] {
  const layers = new Set([0, model.layers]);
  if (firstHop) layers.add(firstHop.hop.range.to);
  for (const { range } of candidates) layers.add(range.from).add(range.to);
  return [...layers]
    .filter((layer) => layer >= 0 && layer <= model.layers)
    .sort((left, right) => left - right)
    .map((layer) => ({ layer, partials: [] }));
}

/** Computes the time that a prompt takes from one availability zone to another, once for each pair of zones. */
function createTransferTimes({
  model,
  promptTokens,
  estimateZoneLinkWait = () => 0,
}: ChoosePathOptions): (from: string, to: string) => number {
  const zoneLinkTime = computeZoneLinkTime(model, promptTokens);
  const timesByZone = new Map<string, Map<string, number>>();
  return (from, to) => {
    const times = timesByZone.get(from) ?? new Map<string, number>();
    timesByZone.set(from, times);
    const time = times.get(to) ?? zoneLinkTime + estimateZoneLinkWait(from, to);
    times.set(to, time);
    return time;
  };
}

/** Sums the predicted times of the hops of a path. */
function sumTimes(
  steps: readonly PathStep[],
  findTransferTime: (from: string, to: string) => number,
): Pick<ChosenPath, 'firstEventMilliseconds' | 'pauseMilliseconds'> {
  let firstEventMilliseconds = 0;
  let pauseMilliseconds = 0;
  for (const { previous, price, range } of steps) {
    const { availabilityZone, startWaitMilliseconds = 0 } = price.candidate;
    const layers = range.to - range.from;
    const isCrossing = previous.zone !== availabilityZone;
    const isTransfer = isCrossing && range.from > 0;
    const crossing = isTransfer ? findTransferTime(previous.zone, availabilityZone) : 0;
    const startWait = range.from === 0 ? startWaitMilliseconds : 0;
    const crossingPause = isCrossing ? ZONE_HOP_MILLISECONDS : 0;
    firstEventMilliseconds =
      firstEventMilliseconds + startWait + layers * price.firstPerLayer + crossing + crossingPause;
    pauseMilliseconds =
      pauseMilliseconds + layers * price.pausePerLayer + HOP_MILLISECONDS + crossingPause;
  }
  return { firstEventMilliseconds, pauseMilliseconds };
}

/**
 * Chooses the path with the lowest predicted time that has enough free memory for the request.
 *
 * Uses dynamic programming over the layers at which some range begins or ends. A state consists of
 * the layer reached and the availability zone of the last endpoint, because leaving that zone takes
 * time.
 *
 * @param options - the model, the endpoints with their load, and the request's size in tokens
 * @returns the path, or undefined when no path with enough free memory runs every layer
 * @example
 * choosePath({ model, candidates, availabilityZone: 'mission', promptTokens: 700, answerTokens: 200, random });
 */
export function choosePath(options: ChoosePathOptions): ChosenPath | undefined {
  const { model, availabilityZone, answerTokens, firstHop, nodes = 1, fillableShare = 1 } = options;
  const events = 1 + answerTokens / model.stride;
  const findTransferTime = createTransferTimes(options);
  const boundaries = listBoundaries(options);
  const priced = priceCandidates(options, events);
  const slots = model.slots * computeUsedShare(USED_SLOTS_SHARE, nodes) * fillableShare;
  const startLayer = firstHop?.hop.range.to ?? 0;
  const startZone = firstHop?.availabilityZone ?? availabilityZone;
  boundaries.find(({ layer }) => layer === startLayer)?.partials.push({ cost: 0, zone: startZone });

  /** Extends a partial path by a hop to each later boundary, unless a cheaper one ends there in the same zone. */
  const extend = (partial: PartialPath, price: PricedCandidate, index: number): void => {
    const { candidate, costPerLayer, costPerHop, maximumLayers } = price;
    const { range, availabilityZone: zone } = candidate;
    const from = boundaries[index]?.layer ?? 0;
    const isCrossing = partial.zone !== zone;
    const crossing = isCrossing && from > 0 ? findTransferTime(partial.zone, zone) : 0;
    const crossingCost = crossing * ZONE_LINK_WEIGHT;
    const pauseCost = events * (isCrossing ? ZONE_HOP_MILLISECONDS : 0);
    const startCost = partial.cost + (from === 0 ? (candidate.startWaitMilliseconds ?? 0) : 0);
    let isNew: boolean | undefined;
    for (let next = index + 1; next < boundaries.length; next += 1) {
      const boundary = boundaries[next];
      if (!boundary || boundary.layer > range.to || boundary.layer - from > maximumLayers) return;
      const { layer: to, partials } = boundary;
      const cost = startCost + ((to - from) * costPerLayer + costPerHop) + crossingCost + pauseCost;
      let place = 0;
      while (place < partials.length && partials[place]?.zone !== zone) place += 1;
      const best = partials[place];
      if (best && best.cost <= cost) continue;
      isNew ??= !passesThrough(partial, candidate);
      if (!isNew) return;
      partials[place] = { cost, zone, step: { previous: partial, price, range: { from, to } } };
    }
  };

  boundaries.forEach(({ layer: from, partials }, index) => {
    if (partials.length === 0) return;
    for (const price of priced) {
      const { range, requests, id, startWaitMilliseconds } = price.candidate;
      if (range.from > from || range.to <= from) continue;
      // Only the first endpoint of a path counts a request against its slots.
      if (from === 0 && (requests >= slots || startWaitMilliseconds === Number.POSITIVE_INFINITY))
        continue;
      if (id === firstHop?.hop.endpoint) continue;
      for (const partial of partials) extend(partial, price, index);
    }
  });
  const ends = boundaries.at(-1)?.partials ?? [];
  const best = ends.sort((left, right) => left.cost - right.cost)[0];
  if (!best) return undefined;
  const steps = listSteps(best);
  const hops = steps.map(({ price: { candidate }, range }) => ({
    endpoint: candidate.id,
    address: candidate.address,
    range,
  }));
  return {
    hops: firstHop ? [firstHop.hop, ...hops] : hops,
    ...sumTimes(steps, findTransferTime),
  };
}
