/**
 * Naive versions of the decisions, to compare the product's own with.
 */
import { SITE_DECISIONS, type SiteDecisions } from '../../src/process/site/siteDecisions/index.js';
import type { PathCandidate } from '../../src/request/choosePath/index.js';
import type { LayeredModel, LayerRange } from '../../src/types/site/index.js';
import type { PlacementCandidate, Placement } from '../../src/types/placement/index.js';

/** Share of each accelerator's memory that layers take. */
const FILLED_SHARE = 0.78;

/**
 * Fills the accelerators of each availability zone one after the other, with no regard to their pace,
 * and repairs nothing.
 *
 * @param model - the model
 * @param endpoints - the endpoints
 * @returns ranges for the empty endpoints
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
      const count = Math.floor((kind.memoryMegabytes * FILLED_SHARE) / model.layerMegabytes);
      const to = Math.min(model.layers, from + count);
      if (!range && !isBusy) orders.set(id, { from, to });
      from = to >= model.layers ? 0 : to;
    }
  }
  return orders;
}

/** Chooses any path, whatever the load and the room. */
const chooseAnyPath: SiteDecisions['choosePath'] = (options) => {
  const kept = options.firstHop?.hop;
  const list = options.candidates.filter(({ id }) => id !== kept?.endpoint);
  const hops = kept ? [kept] : [];
  let layer = kept?.range.to ?? 0;
  const met = new Set<string>();
  while (layer < options.model.layers) {
    const fitting = list.filter(
      ({ id, range }) => !met.has(id) && range.from <= layer && layer < range.to,
    );
    const next: PathCandidate | undefined = fitting[Math.floor(options.random() * fitting.length)];
    if (!next) return undefined;
    met.add(next.id);
    hops.push({
      endpoint: next.id,
      address: next.address,
      range: { from: layer, to: next.range.to },
    });
    layer = next.range.to;
  }
  return { hops, firstEventMilliseconds: 100, pauseMilliseconds: 50 };
};

/** Chooses by predicted time as the product does, but as if every endpoint had room. */
const admitAll: SiteDecisions['choosePath'] = (options) =>
  SITE_DECISIONS.choosePath({
    ...options,
    candidates: options.candidates.map((candidate) => ({ ...candidate, usedTokenLayers: 0 })),
  });

/** Versions of the decisions by name. */
export const DECISIONS: Readonly<Record<string, SiteDecisions>> = {
  product: SITE_DECISIONS,
  'fill-by-zone': { ...SITE_DECISIONS, planPlacement: fillByZone },
  'any-path': { ...SITE_DECISIONS, choosePath: chooseAnyPath, prefersLocalZone: false },
  'admit-all': { ...SITE_DECISIONS, choosePath: admitAll },
  'run-anew': { ...SITE_DECISIONS, movesRuns: false },
};
