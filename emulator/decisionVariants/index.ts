/**
 * Simple alternatives to the router's decisions, as baselines for comparison.
 */
import { SITE_DECISIONS, type SiteDecisions } from '../../src/process/site/siteDecisions/index.js';
import type { PathCandidate } from '../../src/request/choosePath/index.js';
import type { LayeredModel, LayerRange } from '../../src/types/site/index.js';
import type { PlacementCandidate, Placement } from '../../src/types/placement/index.js';

/** Share of an accelerator's memory that is filled with layers. */
const LAYER_MEMORY_SHARE = 0.78;

/**
 * Plans a placement that fills the accelerators of each availability zone one after the other. It
 * ignores their speed and does not replace layers that a zone has lost.
 *
 * @param model - the model
 * @param endpoints - the endpoints
 * @returns layer ranges for the endpoints without layers
 * @example
 * fillByZone(model, endpoints).size;
 */
export function fillByZone(
  model: LayeredModel,
  endpoints: readonly PlacementCandidate[],
): Placement {
  const orders = new Map<string, LayerRange>();
  const zones = new Set(endpoints.map(({ availabilityZone }) => availabilityZone));
  for (const zone of zones) {
    let from = 0;
    for (const { id, kind, range, isBusy, availabilityZone } of endpoints) {
      if (availabilityZone !== zone) continue;
      const count = Math.floor((kind.memoryMegabytes * LAYER_MEMORY_SHARE) / model.layerMegabytes);
      const to = Math.min(model.layers, from + count);
      if (!range && !isBusy) orders.set(id, { from, to });
      from = to >= model.layers ? 0 : to;
    }
  }
  return orders;
}

/** Chooses a random path, regardless of load and free memory. */
const chooseAnyPath: SiteDecisions['choosePath'] = (options) => {
  const firstHop = options.firstHop?.hop;
  const list = options.candidates.filter(({ id }) => id !== firstHop?.endpoint);
  const hops = firstHop ? [firstHop] : [];
  let layer = firstHop?.range.to ?? 0;
  const visited = new Set<string>();
  while (layer < options.model.layers) {
    const fitting = list.filter(
      ({ id, range }) => !visited.has(id) && range.from <= layer && layer < range.to,
    );
    const next: PathCandidate | undefined = fitting[Math.floor(options.random() * fitting.length)];
    if (!next) return undefined;
    visited.add(next.id);
    hops.push({
      endpoint: next.id,
      address: next.address,
      range: { from: layer, to: next.range.to },
    });
    layer = next.range.to;
  }
  return { hops, firstEventMilliseconds: 100, pauseMilliseconds: 50 };
};

/** Chooses by predicted time as the router does, but treats the memory of every endpoint as free. */
const chooseIgnoringMemory: SiteDecisions['choosePath'] = (options) =>
  SITE_DECISIONS.choosePath({
    ...options,
    candidates: options.candidates.map((candidate) => ({ ...candidate, usedTokenLayers: 0 })),
  });

/** Lets the requests of every priority fill the whole capacity. */
const shareNothing: SiteDecisions['computeAdmissionShares'] = ({ demand }) =>
  new Map(demand.priorities.map(({ priority }) => [priority, 1]));

/** Chooses the cheapest path by the known loads, without spreading choices where these are too old. */
const chooseWithoutSpread: SiteDecisions['choosePath'] = (options) =>
  SITE_DECISIONS.choosePath({ ...options, costSpread: undefined });

/** Variants of the decisions by name; `product` is the router's own. */
export const DECISION_VARIANTS: Readonly<Record<string, SiteDecisions>> = {
  product: SITE_DECISIONS,
  'fill-by-zone': { ...SITE_DECISIONS, planPlacement: fillByZone },
  'any-path': { ...SITE_DECISIONS, choosePath: chooseAnyPath, prefersLocalZone: false },
  'admit-all': { ...SITE_DECISIONS, choosePath: chooseIgnoringMemory },
  'no-spread': { ...SITE_DECISIONS, choosePath: chooseWithoutSpread },
  'run-anew': { ...SITE_DECISIONS, movesRuns: false },
  'no-shares': { ...SITE_DECISIONS, computeAdmissionShares: shareNothing },
  'ignore-era': SITE_DECISIONS,
  'ignore-limits': SITE_DECISIONS,
  'no-neighbours': SITE_DECISIONS,
  'trust-ends': SITE_DECISIONS,
  'wait-without-limit': SITE_DECISIONS,
};

/** What the nodes of a variant lack, beside its decisions. */
export interface VariantLacks {
  /** Whether they do not know the era of a restored store. */
  readonly ignoresEra?: boolean;
  /** Whether they do not know the rate limits of endpoints. */
  readonly ignoresLimits?: boolean;
  /** Whether they may hand requests over to each other. */
  readonly hasNeighbours?: boolean;
  /** Whether they take a response without framing for complete when its connection ends. */
  readonly trustsEnds?: boolean;
  /** Whether they wait for responses of the store without a time limit. */
  readonly waitsWithoutLimit?: boolean;
}

/** Variants whose nodes lack something, by name. */
export const VARIANT_LACKS: Readonly<Record<string, VariantLacks>> = {
  'ignore-era': { ignoresEra: true },
  'ignore-limits': { ignoresLimits: true },
  'no-neighbours': { hasNeighbours: false },
  'trust-ends': { trustsEnds: true },
  'wait-without-limit': { waitsWithoutLimit: true },
};
