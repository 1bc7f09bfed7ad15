/**
 * Naive search of the path of a request, which the search of the product must agree with.
 */
import type {
  ChoosePathOptions,
  ChosenPath,
  PathCandidate,
} from '../../../src/request/choosePath/index.js';
import type { LayerRange, PathHop } from '../../../src/types/site/index.js';
import { computePassTime } from '../../../src/request/computePassTime/index.js';
import { computeZoneLinkTime } from '../../../src/request/computeZoneLinkTime/index.js';
import { computePrefillTime } from '../../../src/request/computePrefillTime/index.js';
import { computeFreeMemory } from '../../../src/request/computeFreeMemory/index.js';

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
  readonly firstEventMilliseconds: number;
  readonly pauseMilliseconds: number;
  readonly previous?: PartialPath;
  readonly candidate?: PathCandidate;
  readonly range?: LayerRange;
}

function passesThrough(partial: PartialPath, candidate: PathCandidate): boolean {
  for (let step: PartialPath | undefined = partial; step; step = step.previous) {
    if (step.candidate === candidate) return true;
  }
  return false;
}

function listHops(partial: PartialPath): PathHop[] {
  const hops: PathHop[] = [];
  for (let step: PartialPath | undefined = partial; step; step = step.previous) {
    const { candidate, range } = step;
    if (candidate && range) {
      hops.push({ endpoint: candidate.id, address: candidate.address, range });
    }
  }
  return hops.reverse();
}

/** Computes the costs of all candidates, each with its own random part, so that nodes choose differently. */
function priceCandidates(options: ChoosePathOptions, events: number): PricedCandidate[] {
  const { model, candidates, promptTokens, answerTokens, random, nodes = 1 } = options;
  const memoryShare = computeUsedShare(USED_MEMORY_SHARE, nodes);
  const tokens = promptTokens + answerTokens;
  // The more nodes choose by the same figures, the more their choices have to be spread.
  const jitter = Math.min(JITTER.maximum, JITTER.minimum + JITTER.perNode * nodes);
  return candidates.map((candidate) => {
    const { kind, range, requests, usedTokenLayers, slowdown } = candidate;
    const factor = 1 + jitter * random();
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
function listBoundaries({ model, candidates, firstHop }: ChoosePathOptions): number[] {
  const boundaries = new Set([0, model.layers]);
  if (firstHop) boundaries.add(firstHop.hop.range.to);
  for (const { range } of candidates) boundaries.add(range.from).add(range.to);
  return [...boundaries]
    .filter((layer) => layer >= 0 && layer <= model.layers)
    .sort((left, right) => left - right);
}

/**
 * Chooses the path with the lowest predicted time that has enough free memory for the request.
 *
 * Extends every cheapest path by every hop, and computes the costs of each extension anew.
 *
 * @param options - the model, the endpoints with their load, and the request's size in tokens
 * @returns the path, or undefined when no path with enough free memory runs every layer
 * @example
 * choosePathNaively({ model, candidates, availabilityZone: 'mission', promptTokens: 700, answerTokens: 200, random });
 */
export function choosePathNaively(options: ChoosePathOptions): ChosenPath | undefined {
  const { model, availabilityZone, promptTokens, answerTokens, firstHop, nodes = 1 } = options;
  const { estimateZoneLinkWait = () => 0 } = options;
  const events = 1 + answerTokens / model.stride;
  const zoneLinkTime = computeZoneLinkTime(model, promptTokens);
  const boundaries = listBoundaries(options);
  const priced = priceCandidates(options, events);
  const slots = model.slots * computeUsedShare(USED_SLOTS_SHARE, nodes);
  const states = new Map<number, Map<string, PartialPath>>();
  const startZone = firstHop?.availabilityZone ?? availabilityZone;
  states.set(
    firstHop?.hop.range.to ?? 0,
    new Map([[startZone, { cost: 0, firstEventMilliseconds: 0, pauseMilliseconds: 0 }]]),
  );

  /** Adds a hop to a partial path, unless a cheaper one ends at the same layer and availability zone. */
  const extend = (
    partial: PartialPath,
    zone: string,
    price: PricedCandidate,
    range: LayerRange,
  ): void => {
    const { candidate } = price;
    const layers = range.to - range.from;
    const isCrossing = zone !== candidate.availabilityZone;
    const isTransfer = isCrossing && range.from > 0;
    const wait = isTransfer ? estimateZoneLinkWait(zone, candidate.availabilityZone) : 0;
    const crossing = isTransfer ? zoneLinkTime + wait : 0;
    const startWait = range.from === 0 ? (candidate.startWaitMilliseconds ?? 0) : 0;
    const crossingPause = isCrossing ? ZONE_HOP_MILLISECONDS : 0;
    const hopCost = layers * price.costPerLayer + price.costPerHop;
    const cost =
      partial.cost + startWait + hopCost + crossing * ZONE_LINK_WEIGHT + events * crossingPause;
    const next = states.get(range.to) ?? new Map<string, PartialPath>();
    states.set(range.to, next);
    const best = next.get(candidate.availabilityZone);
    if ((best && best.cost <= cost) || passesThrough(partial, candidate)) return;
    next.set(candidate.availabilityZone, {
      cost,
      firstEventMilliseconds:
        partial.firstEventMilliseconds +
        startWait +
        layers * price.firstPerLayer +
        crossing +
        crossingPause,
      pauseMilliseconds:
        partial.pauseMilliseconds + layers * price.pausePerLayer + HOP_MILLISECONDS + crossingPause,
      previous: partial,
      candidate,
      range,
    });
  };

  for (const from of boundaries) {
    const partialsByZone = states.get(from);
    if (!partialsByZone) continue;
    const later = boundaries.filter((boundary) => boundary > from);
    for (const price of priced) {
      const { range, requests, id, startWaitMilliseconds } = price.candidate;
      if (range.from > from || range.to <= from) continue;
      // Only the first endpoint of a path counts a request against its slots.
      if (from === 0 && (requests >= slots || startWaitMilliseconds === Number.POSITIVE_INFINITY))
        continue;
      if (id === firstHop?.hop.endpoint) continue;
      for (const to of later) {
        if (to > range.to || to - from > price.maximumLayers) break;
        for (const [zone, partial] of partialsByZone) extend(partial, zone, price, { from, to });
      }
    }
  }
  const ends = [...(states.get(model.layers)?.values() ?? [])];
  const best = ends.sort((left, right) => left.cost - right.cost)[0];
  if (!best) return undefined;
  return {
    hops: firstHop ? [firstHop.hop, ...listHops(best)] : listHops(best),
    firstEventMilliseconds: best.firstEventMilliseconds,
    pauseMilliseconds: best.pauseMilliseconds,
  };
}
