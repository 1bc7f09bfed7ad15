/**
 * Simulates nodes that choose paths over the same engines, each by the loads that it has heard of, without a network.
 */
import { createEventQueue } from '../../standins/createEventQueue/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { SITE_DECISIONS } from '../../src/process/site/siteDecisions/index.js';
import { computeFreeMemory } from '../../src/request/computeFreeMemory/index.js';
import { estimateTokens } from '../../src/request/estimateTokens/index.js';
import type { RequestMetadata } from '../../src/types/relay/index.js';
import type { EndpointRecord, NodeRecord, SiteRoute } from '../../src/types/site/index.js';
import { planPlacement } from '../../src/version/planPlacement/index.js';
import { createChooser, type Chooser, type CreateChooserOptions } from '../createChooser/index.js';
import { createEngineFleet, MODEL_SERVICE } from '../createEngineFleet/index.js';
import type { VirtualEngine } from '../createEngineFleet/types.js';
import type { VirtualSite } from '../readScenario/index.js';

/** Options of {@link simulateChoosers}. */
export interface SimulateChoosersOptions {
  readonly site: VirtualSite;
  /** Number of nodes, spread evenly over the availability zones. */
  readonly choosers: number;
  /** Streams that arrive per second at all nodes together. */
  readonly streamsPerSecond: number;
  readonly seed: number;
  readonly seconds?: number;
  /** Amplitude and period of the demand of each zone, one after the other; constant by default. */
  readonly demand?: { readonly amplitude: number; readonly periodSeconds: number };
  /** Priorities of the routes to the service; one by default. */
  readonly priorities?: readonly number[];
  readonly decisions?: CreateChooserOptions['decisions'];
}

/** Figures of a simulation after its first seconds. */
export interface ChoosersResult {
  /** Streams that arrived at nodes. */
  readonly streams: number;
  /** Streams whose first event and pauses were within the limits. */
  readonly onTime: number;
  readonly late: number;
  /** Streams without a path. */
  readonly refused: number;
  /** Runs that were sent to an engine, and those that an engine refused, by reason. */
  readonly arrivals: number;
  readonly refusedArrivals: { readonly slots: number; readonly memory: number };
  /** Coefficient of variation of the requests on the engines of one kind, mean over kinds and time. */
  readonly spread: number;
  /** Shares of the slots of first engines, and of the memory of all, that were free on average. */
  readonly freeSlots: number;
  readonly freeMemory: number;
  /** Actual over predicted time to the first event: 10, 50 and 90 in 100. */
  readonly firstEventRatio: readonly number[];
  /** Milliseconds since the last load report of another node, at a choice: 50 and 95 in 100. */
  readonly loadAge: readonly number[];
  /** CPU time of a choice in microseconds: 50 and 95 in 100. */
  readonly choiceMicroseconds: readonly number[];
}

const ROUND_MILLISECONDS = 300;
/** Delays of a message between nodes of one zone, and of different zones. */
const LOCAL_DELAY_MILLISECONDS = 1;
const REMOTE_DELAY_MILLISECONDS = 4;
/** Delay from a node to an engine, and back. */
const ENGINE_DELAY_MILLISECONDS = 1;
const SAMPLE_MILLISECONDS = 100;
/** Time until the load is steady, before which nothing is counted. */
const WARM_UP_MILLISECONDS = 5_000;
const TAIL_MILLISECONDS = 8_000;
/** Runs that engines may refuse before a stream ends as refused. */
const MAXIMUM_REFUSALS = 4;
/** Time for which an engine that refused a run gets no requests, as in `createStreamPaths`. */
const REFUSAL_AVOID_MILLISECONDS = 200;
const PROMPT_TOKENS = { minimum: 300, maximum: 1_300 } as const;
const EVENTS = { minimum: 34, maximum: 55 } as const;
/** Weight of the callers of the first zone; each of the others has 1. */
const FIRST_ZONE_WEIGHT = 4 / 3;

const ROUTE: SiteRoute = {
  name: 'streams',
  host: 'desk',
  prefix: '/',
  kind: 'stream',
  timeoutMilliseconds: 20_000,
  objectiveMilliseconds: 500,
  priority: 1,
  services: [{ service: MODEL_SERVICE, weight: 1 }],
  maximumAttempts: 2,
  isPublic: false,
  isResumable: true,
  longestPauseMilliseconds: 250,
};

function pickQuantiles(values: readonly number[], quantiles: readonly number[]): number[] {
  const sorted = [...values].sort((left, right) => left - right);
  return quantiles.map((quantile) => sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0);
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Returns the coefficient of variation: the standard deviation as a share of the mean. */
function computeVariation(values: readonly number[]): number {
  const mean = computeMean(values);
  if (mean === 0) return 0;
  return Math.sqrt(computeMean(values.map((value) => (value - mean) ** 2))) / mean;
}

function placeLayers(site: VirtualSite, engines: readonly VirtualEngine[]): void {
  const candidates = engines.map(({ id, availabilityZone, kind }) => ({
    id,
    availabilityZone,
    kind,
    isBusy: false,
  }));
  const placement = planPlacement(site.model, candidates);
  for (const engine of engines) engine.layers = placement.get(engine.id);
}

function createRecord(engine: VirtualEngine, slots: number): EndpointRecord {
  const { id, address, availabilityZone, startedAt, kind, layers } = engine;
  return {
    id,
    service: MODEL_SERVICE,
    address,
    availabilityZone,
    isDraining: false,
    startedAt,
    slots,
    kind: kind.name,
    layers,
  };
}

function createNodes(site: VirtualSite, count: number): NodeRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `node-${index}`,
    availabilityZone: site.availabilityZones[index % site.availabilityZones.length] ?? '',
    callerAddress: `node-${index}`,
    peerAddress: `node-${index}`,
    incarnation: 1,
    isLeaving: false,
  }));
}

/**
 * Simulates the choices of all nodes of a site.
 *
 * Engines compute, fill and refuse as in the emulator. Nodes exchange their loads in the rounds and by the
 * rules of the product, so that loads are as old as in a site of that size.
 *
 * @param options - site, number of nodes, demand and seed
 * @returns the figures
 * @example
 * simulateChoosers({ site, choosers: 86, streamsPerSecond: 204, seed: 1 }).refusedArrivals;
 */
export function simulateChoosers(options: SimulateChoosersOptions): ChoosersResult {
  const { site, streamsPerSecond, seed, demand, seconds = 15 } = options;
  const { decisions = SITE_DECISIONS, priorities = [] } = options;
  const { model } = site;
  const random = createRandom(seed);
  const queue = createEventQueue(0);
  const time = {
    now: queue.now,
    schedule: (milliseconds: number, action: () => void): (() => void) => {
      let isCancelled = false;
      queue.schedule(milliseconds, () => {
        if (!isCancelled) action();
      });
      return () => {
        isCancelled = true;
      };
    },
  };
  const store = { put: () => undefined } as unknown as Parameters<
    typeof createEngineFleet
  >[0]['store'];
  const fleet = createEngineFleet({ site, time, store, seed });
  placeLayers(site, fleet.engines);
  const records = fleet.engines.map((engine) => createRecord(engine, model.slots));
  const nodes = createNodes(site, options.choosers);
  const choosers = new Map<string, Chooser>(
    nodes.map((self) => [
      self.name,
      createChooser({
        self,
        nodes,
        records,
        model,
        routes: [ROUTE, ...priorities.map((priority) => ({ ...ROUTE, priority }))],
        now: time.now,
        seed,
        decisions,
      }),
    ]),
  );
  const endsAt = seconds * 1_000;
  const isMeasured = (at: number): boolean => at >= WARM_UP_MILLISECONDS && at < endsAt;
  const figures = { streams: 0, onTime: 0, late: 0, refused: 0, arrivals: 0, slots: 0, memory: 0 };
  const ratios: number[] = [];
  const loadAges: number[] = [];
  const choiceTimes: number[] = [];
  const variations: number[] = [];
  const freeSlots: number[] = [];
  const freeMemory: number[] = [];

  const countRefusals = (): { slots: number; memory: number } => ({
    slots: fleet.counts.refused.get('slots') ?? 0,
    memory: fleet.counts.refused.get('memory') ?? 0,
  });

  const startStream = (chooser: Chooser): void => {
    const startedAt = time.now();
    const isCounted = isMeasured(startedAt);
    if (isCounted) figures.streams += 1;
    const draw = ({ minimum, maximum }: { minimum: number; maximum: number }): number =>
      Math.round(minimum + random() * (maximum - minimum));
    const promptTokens = draw(PROMPT_TOKENS);
    const lastEvent = draw(EVENTS);
    const caller = {
      promptTokens,
      expectedAnswerTokens: lastEvent * model.stride,
      maximumAnswerTokens: 0,
    } as unknown as RequestMetadata;
    const size = estimateTokens({ caller, model, lastEventId: 0 });
    const excluded = new Set<string>();
    const run = (): void => {
      const choiceAt = performance.now();
      const path = chooser.select(size, excluded);
      if (isCounted) {
        choiceTimes.push((performance.now() - choiceAt) * 1_000);
        loadAges.push(chooser.readLoadAge());
      }
      if (!path || excluded.size > MAXIMUM_REFUSALS) {
        if (isCounted) figures.refused += 1;
        return;
      }
      const release = chooser.reserve(path, size.roomTokens);
      time.schedule(ENGINE_DELAY_MILLISECONDS, () => {
        arrive(path, release);
      });
    };
    const arrive = (
      path: NonNullable<ReturnType<Chooser['select']>>,
      release: () => void,
    ): void => {
      let previousAt: number | undefined;
      let isLate = false;
      const first = chooser.endpoints.find(path.hops[0]?.endpoint ?? '');
      const firstEngine = fleet.find(path.hops[0]?.address ?? '');
      const readLoad = (): void => {
        if (!first || !firstEngine) return;
        first.running = firstEngine.firstHopStreams.size;
        first.waiting = 0;
        first.loadReadAt = time.now();
      };
      if (isCounted) figures.arrivals += 1;
      const before = countRefusals();
      const started = fleet.startRun({
        attempt: `${chooser.self.name}/${startedAt}/${random()}`,
        path: path.hops,
        promptTokens,
        receivedEvent: 0,
        lastEvent,
        onEvent: () => {
          const now = time.now() + ENGINE_DELAY_MILLISECONDS;
          const waited = now - (previousAt ?? startedAt);
          if (previousAt === undefined) {
            readLoad();
            if (isCounted) ratios.push(waited / path.firstEventMilliseconds);
          }
          const limit =
            previousAt === undefined ? ROUTE.objectiveMilliseconds : ROUTE.longestPauseMilliseconds;
          if (waited > limit) isLate = true;
          previousAt = now;
        },
        onEnd: () => {
          release();
          if (isCounted) figures[isLate ? 'late' : 'onTime'] += 1;
        },
      });
      if (typeof started === 'function') return;
      const after = countRefusals();
      if (isCounted) {
        figures.slots += after.slots - before.slots;
        figures.memory += after.memory - before.memory;
      }
      readLoad();
      release();
      const refusing = chooser.endpoints.find(started.failedEngine?.id ?? '');
      if (refusing) {
        excluded.add(refusing.record.id);
        chooser.endpoints.avoid(refusing, time.now(), REFUSAL_AVOID_MILLISECONDS);
      }
      time.schedule(ENGINE_DELAY_MILLISECONDS, run);
    };
    run();
  };

  const weights = site.availabilityZones.map((_, zone) => (zone === 0 ? FIRST_ZONE_WEIGHT : 1));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  site.availabilityZones.forEach((zone, index) => {
    const zoneChoosers = [...choosers.values()].filter(
      ({ self }) => self.availabilityZone === zone,
    );
    const mean = (streamsPerSecond * (weights[index] ?? 1)) / totalWeight / 1_000;
    const computeRate = (): number => {
      if (!demand) return mean;
      const phase = time.now() / (demand.periodSeconds * 1_000) + index / weights.length;
      return mean * (1 + demand.amplitude * Math.sin(2 * Math.PI * phase));
    };
    const arrive = (): void => {
      if (time.now() >= endsAt) return;
      const chooser = zoneChoosers[Math.floor(random() * zoneChoosers.length)];
      if (chooser) startStream(chooser);
      time.schedule(-Math.log(1 - random()) / computeRate(), arrive);
    };
    time.schedule(-Math.log(1 - random()) / mean, arrive);
  });

  const latestLoads = new Map<string, ReturnType<Chooser['startRound']>['loads']>();
  const deliver = (
    from: Chooser,
    to: Chooser,
    loads: ReturnType<Chooser['startRound']>['loads'],
  ) => {
    const isLocal = from.self.availabilityZone === to.self.availabilityZone;
    const delay = isLocal ? LOCAL_DELAY_MILLISECONDS : REMOTE_DELAY_MILLISECONDS;
    time.schedule(delay, () => {
      if (loads) to.receiveLoads(from.self.name, loads);
    });
  };
  for (const chooser of choosers.values()) {
    const round = (): void => {
      const { targets, loads } = chooser.startRound();
      latestLoads.set(chooser.self.name, loads);
      for (const address of targets) {
        const target = choosers.get(address);
        if (!target) continue;
        deliver(chooser, target, loads);
        deliver(target, chooser, latestLoads.get(address));
      }
      time.schedule(ROUND_MILLISECONDS, round);
    };
    time.schedule(random() * ROUND_MILLISECONDS, round);
  }

  const sample = (): void => {
    const firsts = fleet.engines.filter(({ layers }) => layers?.from === 0);
    const slots = firsts.length * model.slots;
    const used = firsts.reduce((sum, { firstHopStreams }) => sum + firstHopStreams.size, 0);
    freeSlots.push(1 - used / slots);
    const shares = fleet.engines.map(({ kind, layers, usedTokenLayers }) => {
      const width = layers ? layers.to - layers.from : 0;
      return usedTokenLayers / computeFreeMemory(model, kind.memoryMegabytes, width);
    });
    freeMemory.push(1 - computeMean(shares));
    const kinds = model.kinds.map(({ name }) =>
      computeVariation(shares.filter((_, index) => fleet.engines[index]?.kind.name === name)),
    );
    variations.push(computeMean(kinds));
    if (time.now() < endsAt) time.schedule(SAMPLE_MILLISECONDS, sample);
  };
  time.schedule(WARM_UP_MILLISECONDS, sample);

  queue.runUntil(endsAt + TAIL_MILLISECONDS);
  const { slots, memory, ...counted } = figures;
  return {
    ...counted,
    refusedArrivals: { slots, memory },
    spread: computeMean(variations),
    freeSlots: computeMean(freeSlots),
    freeMemory: computeMean(freeMemory),
    firstEventRatio: pickQuantiles(ratios, [0.1, 0.5, 0.9]),
    loadAge: pickQuantiles(loadAges, [0.5, 0.95]),
    choiceMicroseconds: pickQuantiles(choiceTimes, [0.5, 0.95]),
  };
}
