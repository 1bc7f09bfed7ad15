/**
 * Compares the placement of layers on a site with an upper bound, with a naive plan, and with all
 * plans of small fleets.
 */
import { fillByZone } from '../../emulator/decisionVariants/index.js';
import { readSite, type VirtualSite } from '../../emulator/readScenario/index.js';
import { computePrefillTime } from '../../src/request/computePrefillTime/index.js';
import { computeFreeMemory } from '../../src/request/computeFreeMemory/index.js';
import type { LayeredModel, LayerRange } from '../../src/types/site/index.js';
import type { PlacementCandidate, Placement } from '../../src/types/placement/index.js';
import { planPlacement } from '../../src/version/planPlacement/index.js';
import { computeThroughputBound } from '../computeThroughputBound/index.js';
import { round, type Measurement, type Target } from '../types.js';

const SMALL_LAYERS = 6;
const REPEATS = 5;
const TARGET_ENGINES = 650;
/** Planning must not delay the relaying of events, which arrive every 100 ms. */
const MAXIMUM_PLAN_MILLISECONDS = 100;
const MINIMUM_SHARE_OF_BEST = 0.9;

/**
 * Returns the request-layers per second that an endpoint can serve, limited by its speed and its
 * free memory.
 */
function computeSupply(
  model: LayeredModel,
  { kind }: PlacementCandidate,
  range: LayerRange,
): number {
  const events = 1 + model.usualAnswerTokens / model.stride;
  const context = (model.usualPromptTokens + model.usualAnswerTokens / 2) / 1_000;
  const perStep =
    model.stepMillisecondsPerSequence + context * model.stepMillisecondsPerThousandTokens;
  const decodeMilliseconds = events * model.stride * perStep * kind.pace;
  const milliseconds =
    decodeMilliseconds + computePrefillTime(model, kind, model.usualPromptTokens);
  const rateByTime = (1_000 * model.layers) / milliseconds;
  const tokens = model.usualPromptTokens + model.usualAnswerTokens / 2;
  const concurrentRequests =
    computeFreeMemory(model, kind.memoryMegabytes, range.to - range.from) / tokens;
  const fastest = Math.min(...model.kinds.map(({ pace }) => pace));
  const minimumResidenceSeconds =
    (events * model.stride * model.stepMilliseconds * fastest) / 1_000;
  return Math.min(rateByTime, concurrentRequests / minimumResidenceSeconds);
}

/**
 * Returns the maximum requests per second that a placement can serve, by a maximum flow from
 * endpoints to layers.
 */
function computePlacementBound(
  model: LayeredModel,
  endpoints: readonly PlacementCandidate[],
  placement: Placement,
): number {
  const engines = endpoints.flatMap((endpoint) => {
    const range = placement.get(endpoint.id);
    return range ? [{ ...range, layersPerSecond: computeSupply(model, endpoint, range) }] : [];
  });
  return computeThroughputBound(engines, model.layers);
}

/**
 * Returns the requests per second if every endpoint could host every layer without using memory for
 * it.
 */
function computeSiteBound(model: LayeredModel, endpoints: readonly PlacementCandidate[]): number {
  const emptyRange = { from: 0, to: 0 };
  const supply = endpoints.reduce(
    (sum, endpoint) => sum + computeSupply(model, endpoint, emptyRange),
    0,
  );
  return supply / model.layers;
}

function listEndpoints({ engines, availabilityZones, model }: VirtualSite): PlacementCandidate[] {
  return engines.flatMap(({ kind: name, counts }) => {
    const kind = model.kinds.find((known) => known.name === name);
    if (!kind) return [];
    return counts.flatMap((count, zone) =>
      Array.from({ length: count }, (_, index) => ({
        id: `${name}-${zone}-${index}`,
        availabilityZone: availabilityZones[zone] ?? '',
        kind,
        range: undefined,
        isBusy: false,
      })),
    );
  });
}

function applyPlacement(
  endpoints: readonly PlacementCandidate[],
  placement: Placement,
): PlacementCandidate[] {
  return endpoints.map((endpoint) => ({
    ...endpoint,
    range: placement.get(endpoint.id) ?? endpoint.range,
  }));
}

function readPlacement(endpoints: readonly PlacementCandidate[]): Placement {
  return new Map(endpoints.flatMap(({ id, range }) => (range ? [[id, range] as const] : [])));
}

/**
 * Returns the minimum share of the bound that remains after the loss of any one endpoint and the
 * repair.
 */
function findMinimumShareAfterLoss(
  model: LayeredModel,
  endpoints: readonly PlacementCandidate[],
): number {
  const placed = applyPlacement(endpoints, planPlacement(model, endpoints));
  const before = computePlacementBound(model, placed, readPlacement(placed));
  let minimumShare = 1;
  for (const { id } of placed) {
    const remaining = placed.filter((endpoint) => endpoint.id !== id);
    const repaired = applyPlacement(remaining, planPlacement(model, remaining));
    minimumShare = Math.min(
      minimumShare,
      computePlacementBound(model, repaired, readPlacement(repaired)) / before,
    );
  }
  return minimumShare;
}

function measureSite(file: string): { rows: Measurement['rows']; targets: Target[] } {
  const site = readSite(file);
  const { model } = site;
  const endpoints = listEndpoints(site);
  const startedAt = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat += 1) planPlacement(model, endpoints);
  const milliseconds = (performance.now() - startedAt) / REPEATS;
  const bound = computeSiteBound(model, endpoints);
  const planned = computePlacementBound(model, endpoints, planPlacement(model, endpoints));
  const filled = computePlacementBound(model, endpoints, fillByZone(model, endpoints));
  const offered = site.requests
    .filter(({ kind }) => kind === 'stream')
    .reduce((sum, { perSecond }) => sum + perSecond, 0);
  const afterLoss = findMinimumShareAfterLoss(model, endpoints);
  return {
    rows: [
      {
        site: site.name,
        engines: endpoints.length,
        offered: round(offered),
        'bound of the site': round(bound),
        'bound of the plan': round(planned),
        'bound filled by zone': round(filled),
        'kept after any loss': round(afterLoss, 3),
        'plan ms': round(milliseconds, 2),
      },
    ],
    targets: [
      {
        name: `${site.name}: bound of the plan against what is offered, requests a second`,
        target: 'at least as many',
        measured: `${round(planned)} against ${round(offered)}`,
        isMet: planned >= offered,
      },
      {
        name: `${site.name}: bound of the plan against filling by availability zone`,
        target: 'at least as many',
        measured: `${round(planned)} against ${round(filled)}`,
        isMet: planned >= filled,
      },
    ],
  };
}

/** Returns the best bound over all placements of a small fleet. */
function findBestBound(model: LayeredModel, endpoints: readonly PlacementCandidate[]): number {
  const ranges: LayerRange[] = [];
  for (let from = 0; from < model.layers; from += 1) {
    for (let to = from + 1; to <= model.layers; to += 1) ranges.push({ from, to });
  }
  const fits = (endpoint: PlacementCandidate, { from, to }: LayerRange): boolean =>
    computeFreeMemory(model, endpoint.kind.memoryMegabytes, to - from) > 0;
  let best = 0;
  const placement = new Map<string, LayerRange>();
  const search = (index: number): void => {
    const endpoint = endpoints[index];
    if (!endpoint) {
      best = Math.max(best, computePlacementBound(model, endpoints, placement));
      return;
    }
    for (const range of ranges) {
      if (!fits(endpoint, range)) continue;
      placement.set(endpoint.id, range);
      search(index + 1);
    }
    placement.delete(endpoint.id);
  };
  search(0);
  return best;
}

function measureSmallFleets(): { rows: Measurement['rows']; targets: Target[] } {
  const { model: full } = readSite('examples/emulator/fit-desk.json');
  // Few large layers; each accelerator hosts the same share of the model as with the full number of
  // layers.
  const scale = full.layers / SMALL_LAYERS;
  const model: LayeredModel = {
    ...full,
    layers: SMALL_LAYERS,
    layerMegabytes: full.layerMegabytes * scale,
  };
  const [fast, , slow] = full.kinds;
  const rows: Measurement['rows'][number][] = [];
  let minimumShare = 1;
  for (const names of ['fast-fast-fast-slow', 'fast-fast-slow-slow', 'fast-fast-fast-fast']) {
    const endpoints = names.split('-').flatMap((name, index) => {
      const kind = name === 'fast' ? fast : slow;
      return kind
        ? [{ id: `e${index}`, availabilityZone: 'a', kind, range: undefined, isBusy: false }]
        : [];
    });
    const best = findBestBound(model, endpoints);
    const planned = computePlacementBound(model, endpoints, planPlacement(model, endpoints));
    minimumShare = Math.min(minimumShare, best > 0 ? planned / best : 1);
    rows.push({ fleet: names, 'best of all': round(best), planned: round(planned) });
  }
  const target: Target = {
    name: 'bound of the plan against the best of all plans, small fleets',
    target: `at least ${MINIMUM_SHARE_OF_BEST}`,
    measured: String(round(minimumShare, 3)),
    isMet: minimumShare >= MINIMUM_SHARE_OF_BEST,
  };
  return { rows, targets: [target] };
}

function measurePlanTime(): Target {
  const site = readSite('examples/emulator/fit-desk-large.json');
  const base = listEndpoints(site);
  const endpoints = Array.from({ length: TARGET_ENGINES }, (_, index) => {
    const endpoint = base[index % base.length];
    if (!endpoint) throw new Error('the site fit-desk-large has no engines');
    return { ...endpoint, id: `${endpoint.id}-${index}` };
  });
  const startedAt = performance.now();
  planPlacement(site.model, endpoints);
  const milliseconds = performance.now() - startedAt;
  return {
    name: `time of a plan for ${TARGET_ENGINES} engines`,
    target: `at most ${MAXIMUM_PLAN_MILLISECONDS} ms`,
    measured: `${round(milliseconds, 1)} ms`,
    isMet: milliseconds <= MAXIMUM_PLAN_MILLISECONDS,
  };
}

/** Measures the placement of layers on three sites and on small fleets, and the time of a plan. */
export function measureSitePlacement(): Measurement {
  const parts = [
    measureSite('examples/emulator/fit-desk.json'),
    measureSite('examples/emulator/strathbrae.json'),
    measureSite('examples/emulator/fit-desk-large.json'),
    measureSmallFleets(),
  ];
  return {
    rows: parts.flatMap(({ rows }) => rows),
    targets: [...parts.flatMap(({ targets }) => targets), measurePlanTime()],
  };
}
