/**
 * One soak run: starts nodes as separate processes, injects faults from outside and checks the promises.
 */
import { mkdirSync } from 'node:fs';
import { sleep } from '../../bench/sleep/index.js';
import { createLifeCycle, type LifeCycle } from '../../src/process/createLifeCycle/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { serveSiteStore, type SiteStore } from '../../standins/serveSiteStore/index.js';
import {
  ACCELERATOR_KIND,
  LAYERS,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  SOAK_HOST,
  SOAK_API_KEY,
} from '../createConfiguration/index.js';
import { createOperator, type Operator } from '../createOperator/index.js';
import { createNodes, type SoakNode } from '../createNodes/index.js';
import { drawRestorations } from '../drawRestorations/index.js';
import { createRecord } from '../createRecord/index.js';
import { drawRateLimits } from '../drawRateLimits/index.js';
import { drawUnframedEnds } from '../drawUnframedEnds/index.js';
import { drawSilences } from '../drawSilences/index.js';
import { drawOddEntries } from '../drawOddEntries/index.js';
import { serveOddAddress, type OddAddress } from '../serveOddAddress/index.js';
import { createSoakEndpoint, type SoakEndpoint } from '../createSoakEndpoint/index.js';
import { drawSchedule, type FaultKind, type ScheduledFault } from '../drawSchedule/index.js';
import { createFaultInjector, type FaultInjector } from '../createFaultInjector/index.js';
import { findViolations } from '../findViolations/index.js';
import { createCallers, type Callers } from '../createCallers/index.js';
import type { SoakBounds, SoakRecord, Violation } from '../types/index.js';
import { watchRegistrations } from '../watchRegistrations/index.js';
import { watchVersions } from '../watchVersions/index.js';

/** Options of {@link runSoak}. */
export interface RunSoakOptions {
  readonly seed: number;
  /** Time in which faults are injected, in milliseconds. */
  readonly milliseconds: number;
  readonly nodes: number;
  /** Whether the store is restored from older copies while faults are injected; false by default. */
  readonly restoresStore?: boolean;
  /** Path of the program that nodes run. */
  readonly program: string;
  /** Folder of the settings and logs. */
  readonly folder: string;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly record: SoakRecord;
  readonly schedule: readonly ScheduledFault[];
  /** Number of injected faults of each kind. */
  readonly faults: ReadonlyMap<FaultKind, number>;
}

/** Limits of the promises. */
export const SOAK_BOUNDS: SoakBounds = {
  layers: LAYERS,
  events: 12,
  attemptMilliseconds: 12_000,
  stopMilliseconds: 13_000,
  applyMilliseconds: 17_000,
  contactApplyMilliseconds: 2_000,
  noticeMilliseconds: 1_000,
  registerMilliseconds: 10_000,
  drainMilliseconds: 2_000,
  retryRatio: 0.2,
  retrySlack: 20,
  retryWindowMilliseconds: 10_000,
  crashesUntilKnown: 5,
  contactMilliseconds: 3_000,
  maximumKnownSends: 3,
  maximumDescriptorGrowth: 64,
  maximumMegabyteGrowth: 48,
};

const DEADLINE_MILLISECONDS = 6_000;
/** Share of streams that crash endpoints while faults are injected, and how long an endpoint is down. */
const CRASHING_SHARE = 0.08;
const CRASHED_MILLISECONDS = 2_500;
const MODEL_ENDPOINTS = 8;
const PLAIN_ENDPOINTS = 4;
const CALLERS_PER_NODE = 3;
const ZONES = 3;
const PROCESS_CHECK_MILLISECONDS = 2_000;
/** Time for recovery after the last fault, and time with requests and without faults after that. */
const RECOVERY_MILLISECONDS = 10_000;
const FAULT_FREE_MILLISECONDS = 8_000;
/** Time after the last request in which idle connections close. */
const CONNECTION_CLOSE_MILLISECONDS = 3_000;

interface Site {
  readonly store: SiteStore;
  readonly oddAddress: OddAddress;
  readonly endpoints: readonly SoakEndpoint[];
  readonly nodes: readonly SoakNode[];
  readonly record: SoakRecord;
  readonly now: () => number;
  readonly createEndpoint: (id: string, isModel: boolean, zone: number) => Promise<SoakEndpoint>;
  /** Endpoints that write to the store, also those that have replaced others. */
  readonly writers: readonly SoakEndpoint[];
  readonly operator: Operator;
  /** Injector of faults; present while the schedule runs. */
  readonly schedule: { injector?: FaultInjector | undefined };
}

async function startSite(options: RunSoakOptions, lifeCycle: LifeCycle): Promise<Site> {
  const record = createRecord();
  const startedAt = performance.now();
  const now = (): number => performance.now() - startedAt;
  const store = await serveSiteStore(0);
  lifeCycle.own({ name: 'store', close: store.close });
  const oddAddress = await serveOddAddress(record, now);
  lifeCycle.own({ name: 'odd-address', close: oddAddress.close });
  const endpoints: SoakEndpoint[] = [];
  const writers: SoakEndpoint[] = [];
  const schedule: Site['schedule'] = {};
  const createEndpoint: Site['createEndpoint'] = async (id, isModel, zone) => {
    const endpoint = await createSoakEndpoint({
      id,
      service: isModel ? MODEL_SERVICE : PLAIN_SERVICE,
      availabilityZone: `zone-${1 + (zone % ZONES)}`,
      acceleratorKind: isModel ? ACCELERATOR_KIND : undefined,
      events: SOAK_BOUNDS.events,
      store,
      record,
      now,
      isServing: (address) =>
        endpoints.some(({ link, isServing }) => link.address === address && isServing()),
      crashForTime: (crashed) => {
        const kind = 'crashEndpoint';
        const index = endpoints.findIndex((candidate) => candidate.id === crashed);
        const fault = { at: now(), kind, index, milliseconds: CRASHED_MILLISECONDS } as const;
        return index >= 0 && schedule.injector?.inject(fault) === true;
      },
    });
    lifeCycle.own({ name: id, close: endpoint.close });
    writers.push(endpoint);
    return endpoint;
  };
  for (let index = 0; index < MODEL_ENDPOINTS + PLAIN_ENDPOINTS; index += 1) {
    const endpoint = await createEndpoint(`engine-${index}`, index < MODEL_ENDPOINTS, index);
    endpoints.push(endpoint);
    await endpoint.start();
  }
  const operator = createOperator({
    store,
    record,
    now,
    timeoutMilliseconds: DEADLINE_MILLISECONDS,
  });
  operator.changeConfiguration();
  const nodes = await createNodes({
    count: options.nodes,
    storeAddress: store.address,
    program: options.program,
    folder: options.folder,
    record,
    now,
    stopMilliseconds: SOAK_BOUNDS.stopMilliseconds,
  });
  for (const node of nodes) lifeCycle.own({ name: node.name, close: node.close });
  await Promise.all(nodes.map((node) => node.start()));
  return {
    store,
    oddAddress,
    endpoints,
    writers,
    nodes,
    record,
    now,
    createEndpoint,
    operator,
    schedule,
  };
}

function startCallers(site: Site, seed: number): Callers {
  const { nodes, record, now } = site;
  return createCallers({
    targets: nodes.map(({ name, callerLink }) => ({ node: name, address: callerLink.address })),
    record,
    now,
    random: createRandom(seed + 1),
    host: SOAK_HOST,
    apiKey: SOAK_API_KEY,
    count: CALLERS_PER_NODE * nodes.length,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    attemptMilliseconds: SOAK_BOUNDS.attemptMilliseconds,
    getCrashingShare: () => (site.schedule.injector ? CRASHING_SHARE : 0),
  });
}

/** Draws the faults of a run in the order of their starts. */
function drawFaults(options: RunSoakOptions, nodes: number, endpoints: number): ScheduledFault[] {
  const { seed, milliseconds, restoresStore = false } = options;
  const restorations = restoresStore ? drawRestorations({ seed, milliseconds, endpoints }) : [];
  return [
    ...drawSchedule({ seed, milliseconds, nodes, endpoints }),
    ...drawOddEntries({ seed, milliseconds, endpoints }),
    ...drawRateLimits({ seed, milliseconds, endpoints }),
    ...drawUnframedEnds({ seed, milliseconds, endpoints }),
    ...drawSilences({ seed, milliseconds }),
    ...restorations,
  ].sort((left, right) => left.at - right.at);
}

/** Records the nodes' processes at an interval; returns a function that stops it. */
function watchProcesses(nodes: readonly SoakNode[]): () => void {
  const timer = setInterval(() => {
    for (const node of nodes) node.recordProcess();
  }, PROCESS_CHECK_MILLISECONDS);
  return () => {
    clearInterval(timer);
  };
}

async function runSchedule(site: Site, schedule: readonly ScheduledFault[], seed: number) {
  const { endpoints, nodes, store, record, now, operator } = site;
  let replacements = 0;
  const injector = createFaultInjector({
    nodes,
    endpoints,
    store,
    oddAddress: site.oddAddress.address,
    record,
    now,
    operator,
    listWriters: () => site.writers,
    random: createRandom(seed + 2),
    replaceEndpoint: async (endpoint) => {
      replacements += 1;
      const other = await site.createEndpoint(`other-${replacements}`, false, replacements);
      return other.useLink(endpoint.link);
    },
  });
  site.schedule.injector = injector;
  const startedAt = now();
  for (const fault of schedule) {
    await sleep(Math.max(0, startedAt + fault.at - now()));
    injector.inject(fault);
  }
  site.schedule.injector = undefined;
  await injector.settle();
  return injector.counts;
}

/**
 * Executes a soak run.
 *
 * @param options - seed, duration of the faults in milliseconds, number of nodes, program and folder
 * @returns the observations, the violations, and the injected faults
 * @example
 * const { violations } = await runSoak({ seed: 7, milliseconds: 30_000, nodes: 6, program, folder });
 */
export async function runSoak(options: RunSoakOptions): Promise<SoakResult> {
  const { seed, folder } = options;
  mkdirSync(folder, { recursive: true });
  const lifeCycle = createLifeCycle();
  try {
    const site = await startSite(options, lifeCycle);
    const { record, nodes, now, endpoints, store } = site;
    const schedule = drawFaults(options, nodes.length, endpoints.length);
    const callers = startCallers(site, seed);
    callers.start();
    const stopProcessWatch = watchProcesses(nodes);
    const stopVersionWatch = watchVersions({
      nodes: nodes.map(({ name, callerLink, getStartNumber }) => ({
        node: name,
        address: callerLink.address,
        getStartNumber,
      })),
      callers,
      record,
      now,
    });
    const stopRegistrationWatch = watchRegistrations({ nodes, store, record, now });
    const faults = await runSchedule(site, schedule, seed);
    await sleep(RECOVERY_MILLISECONDS);
    record.calmAt = now();
    await sleep(FAULT_FREE_MILLISECONDS);
    await Promise.all([callers.stop(), stopVersionWatch()]);
    await sleep(CONNECTION_CLOSE_MILLISECONDS);
    stopProcessWatch();
    stopRegistrationWatch();
    for (const node of nodes) node.recordProcess();
    await Promise.all(nodes.map((node) => node.stop()));
    for (const node of nodes) node.recordInternalErrors();
    return { violations: findViolations(record, SOAK_BOUNDS), record, schedule, faults };
  } finally {
    await lifeCycle.close();
  }
}
