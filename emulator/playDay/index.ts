/**
 * Plays one day of a site with complete router nodes under virtual time.
 */
import { injectFaults } from '../injectFaults/index.js';
import { createEngineFleet, MODEL_SERVICE } from '../createEngineFleet/index.js';
import { createPlainFleet, PLAIN_SERVICE } from '../createPlainFleet/index.js';
import type { PortCounts } from '../createEndpointPort/index.js';
import { createVirtualCallers, type CallerRecord } from '../createVirtualCallers/index.js';
import { createVirtualNodes, type VirtualLogLine } from '../createVirtualNodes/index.js';
import { createVirtualLimits } from '../createVirtualLimits/index.js';
import { createVirtualOperator } from '../createVirtualOperator/index.js';
import { createVirtualStore, type StoreCall } from '../createVirtualStore/index.js';
import { createVirtualTime } from '../createVirtualTime/index.js';
import { watchVersions } from '../watchVersions/index.js';
import type { VirtualDay, VirtualSite } from '../readScenario/index.js';
import type { EngineCounts } from '../createForwardPasses/index.js';
import type { Repair } from '../createRepairMonitor/index.js';
import { SITE_DECISIONS, type SiteDecisions } from '../../src/process/site/siteDecisions/index.js';
import type { SiteConfiguration } from '../../src/types/site/index.js';

/** A period in which the engines of an availability zone did not host every layer. */
export interface LayerGap {
  readonly availabilityZone: string;
  /** Virtual time of its start, in milliseconds. */
  readonly at: number;
  readonly milliseconds: number;
}

/** Result of a day. */
export interface DayResult {
  readonly records: readonly CallerRecord[];
  readonly lines: readonly VirtualLogLine[];
  readonly engineCounts: EngineCounts;
  readonly portCounts: PortCounts;
  readonly storeCalls: ReadonlyMap<StoreCall, number>;
  readonly peerBytes: number;
  readonly gaps: readonly LayerGap[];
  readonly repairs: readonly Repair[];
  /**
   * Violated guarantees: missing, duplicate or reordered events; at-most-once requests executed twice;
   * executed requests whose refusal stated that they were not; processes that returned to an older configuration, and
   * nodes that do not have the newest one at the end; versions that a process applied too late; rate limits that were
   * exceeded.
   */
  readonly broken: {
    readonly events: number;
    readonly ranTwice: number;
    readonly refusedThoughRun: number;
    readonly configuration: number;
    readonly lateVersions: number;
    readonly limits: number;
  };
  /** Virtual time of the first request, in milliseconds. */
  readonly firstAt: number;
  /** Length of the day with its tail, in milliseconds. */
  readonly milliseconds: number;
  readonly nodes: number;
}

/** Options of {@link playDay}. */
export interface PlayDayOptions {
  readonly site: VirtualSite;
  readonly day: VirtualDay;
  readonly seed: number;
  /** Decisions of the nodes; the router's own by default. */
  readonly decisions?: SiteDecisions;
  /** Whether the nodes do not know the era of a restored store; false by default. */
  readonly ignoresEra?: boolean;
  /** Whether the nodes do not know the rate limits of endpoints; false by default. */
  readonly ignoresLimits?: boolean;
  /** Whether nodes may hand requests over to each other; true by default. */
  readonly hasNeighbours?: boolean;
  /** Whether nodes take a stream without framing for complete when its connection ends; false by default. */
  readonly trustsEnds?: boolean;
  /** Whether nodes wait for responses of the store without a time limit; false by default. */
  readonly waitsWithoutLimit?: boolean;
}

/** Time after the last request in which requests may still complete. */
const TAIL_MILLISECONDS = 21_000;
/** Retry budget of each node. */
const RETRY_SLACK = 196;
const RETRY_RATIO = 0.2;
const RETRY_WINDOW_MILLISECONDS = 10_000;
const GAP_CHECK_MILLISECONDS = 50;
/** Period over which the starts of the nodes are spread. */
const START_SPREAD_MILLISECONDS = 300;

function createConfiguration(site: VirtualSite): Omit<SiteConfiguration, 'version'> {
  const accounts = Array.from({ length: site.accounts }, (_, index) => `account-${index}`);
  return {
    routes: site.requests.map((requestClass) => ({
      name: requestClass.name,
      host: 'desk',
      prefix: `/${requestClass.name}/`,
      kind: requestClass.kind,
      timeoutMilliseconds: requestClass.timeoutMilliseconds,
      objectiveMilliseconds: requestClass.objectiveMilliseconds,
      priority: requestClass.priority,
      services: [
        { service: requestClass.kind === 'stream' ? MODEL_SERVICE : PLAIN_SERVICE, weight: 1 },
      ],
      maximumAttempts: requestClass.mostAttempts,
      isPublic: false,
      isResumable: requestClass.kind === 'stream',
      longestPauseMilliseconds: requestClass.longestPauseMilliseconds,
    })),
    services: [
      { name: MODEL_SERVICE, healthPath: '/', maximumConnections: 1_000, model: site.model },
      { name: PLAIN_SERVICE, healthPath: '/', maximumConnections: 100 },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 5_000,
    },
    accounts: accounts.map((name) => ({ name, keys: [name] })),
  };
}

/** Checks regularly which zones host every layer, and lists the gaps that have ended. */
function watchLayerGaps(
  site: VirtualSite,
  time: ReturnType<typeof createVirtualTime>,
  engines: ReturnType<typeof createEngineFleet>,
): LayerGap[] {
  const gaps: LayerGap[] = [];
  const gapStarts = new Map<string, number>();
  const check = (): void => {
    for (const zone of site.availabilityZones) {
      const loadedEngines = engines.engines.filter(
        ({ availabilityZone, isDown, layers }) => availabilityZone === zone && !isDown && layers,
      );
      let coveredLayers = 0;
      while (coveredLayers < site.model.layers) {
        const coveredTo = loadedEngines
          .filter(({ layers }) => layers && layers.from <= coveredLayers)
          .reduce((maximum, { layers }) => Math.max(maximum, layers?.to ?? 0), 0);
        if (coveredTo <= coveredLayers) break;
        coveredLayers = coveredTo;
      }
      const start = gapStarts.get(zone);
      if (coveredLayers < site.model.layers) gapStarts.set(zone, start ?? time.now());
      else if (start !== undefined) {
        gapStarts.delete(zone);
        gaps.push({ availabilityZone: zone, at: start, milliseconds: time.now() - start });
      }
    }
    time.schedule(GAP_CHECK_MILLISECONDS, check);
  };
  time.schedule(site.leadSeconds * 1_000, check);
  return gaps;
}

/**
 * Plays a day.
 *
 * @param options - site, day, seed, and decisions that replace the router's own
 * @returns the result
 * @example
 * const { records } = await playDay({ site, day, seed: 1 });
 */
export async function playDay(options: PlayDayOptions): Promise<DayResult> {
  const { site, day, seed, decisions = SITE_DECISIONS } = options;
  const { ignoresEra = false, ignoresLimits = false, hasNeighbours = true } = options;
  const { waitsWithoutLimit = false } = options;
  const framedEnd = options.trustsEnds === true ? 'trusted' : 'unframed';
  const time = createVirtualTime();
  const store = createVirtualStore(time, { hidesEra: ignoresEra, waitsWithoutLimit });
  const engines = createEngineFleet({ site, time, store, seed });
  const plain = createPlainFleet({ site, time, store, seed });
  const limits = createVirtualLimits(time);
  const scaledSite = {
    ...site,
    requests: site.requests.map((requestClass) => ({
      ...requestClass,
      perSecond: requestClass.perSecond * day.rate,
    })),
  };
  const callers = createVirtualCallers({
    site: scaledSite,
    time,
    seed,
    getNodes: () => nodes.nodes,
  });
  const nodes = createVirtualNodes({
    site,
    time,
    store,
    engines,
    plain,
    limits: ignoresLimits ? { ...limits, find: () => undefined } : limits,
    findRequest: callers.findRequest,
    findMetadata: callers.findMetadata,
    hasNeighbours,
    streamEnd: day.isUnframed === true ? framedEnd : 'framed',
    decisions,
    retries: {
      ratio: RETRY_RATIO,
      slack: RETRY_SLACK,
      windowMilliseconds: RETRY_WINDOW_MILLISECONDS,
    },
  });
  const operator = createVirtualOperator(store, createConfiguration(site));
  nodes.nodes.forEach((node, index) => {
    time.schedule((index * START_SPREAD_MILLISECONDS) / nodes.nodes.length, node.start);
  });
  const firstAt = site.leadSeconds * 1_000;
  const milliseconds = day.seconds * 1_000;
  const gaps = watchLayerGaps(site, time, engines);
  time.schedule(firstAt, () => {
    callers.start(firstAt + milliseconds);
  });
  const fleets = { engines, plain, limits };
  const system = { site, time, store, ...fleets, callers, nodes: nodes.nodes, operator };
  injectFaults(system, day, seed);
  const versionWatch = watchVersions({ time, nodes: nodes.nodes, operator, day, firstAt });
  await time.run(firstAt + milliseconds + TAIL_MILLISECONDS);
  for (const record of callers.records) record.outcome ??= 'failed';
  const atMostOnceClasses = new Set(
    site.requests.filter(({ kind }) => kind === 'atMostOnce').map(({ name }) => name),
  );
  return {
    records: callers.records,
    lines: nodes.lines,
    engineCounts: engines.counts,
    portCounts: nodes.countCalls(),
    storeCalls: store.calls,
    peerBytes: nodes.countPeerBytes(),
    gaps,
    repairs: engines.repairs,
    broken: {
      events: callers.countEventErrors(),
      ranTwice: [...plain.runs].filter(
        ([attempt, runs]) => runs > 1 && atMostOnceClasses.has(callers.findClass(attempt)),
      ).length,
      refusedThoughRun: [...plain.runs.keys()].filter(
        (attempt) =>
          callers.refusedAttempts.has(attempt) && atMostOnceClasses.has(callers.findClass(attempt)),
      ).length,
      configuration: nodes.countConfigurationErrors(operator.getVersion()),
      lateVersions: versionWatch.countLate(),
      limits: limits.countExceeded(),
    },
    firstAt,
    milliseconds: milliseconds + TAIL_MILLISECONDS,
    nodes: nodes.nodes.length,
  };
}
