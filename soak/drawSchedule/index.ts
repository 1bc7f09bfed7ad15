/**
 * Schedule of the faults of a run, drawn from its seed.
 */
import { createRandom } from '../../src/process/createRandom/index.js';

/** Kind of component that a fault affects. */
export type FaultTarget = 'node' | 'endpoint' | 'store' | 'configuration';

/** Kinds of faults, with the component that they affect and their weight in the draw. */
export const FAULT_KINDS = {
  freezeNode: { target: 'node', weight: 2 },
  killNode: { target: 'node', weight: 2 },
  stopNode: { target: 'node', weight: 2 },
  moveNode: { target: 'node', weight: 1 },
  reloadNode: { target: 'node', weight: 1 },
  delayCallers: { target: 'node', weight: 1 },
  trickleCallers: { target: 'node', weight: 1 },
  resetCallers: { target: 'node', weight: 1 },
  cutToNode: { target: 'node', weight: 1 },
  cutToCallers: { target: 'node', weight: 1 },
  silenceCallers: { target: 'node', weight: 1 },
  delayStoreLink: { target: 'node', weight: 1 },
  resetStoreLink: { target: 'node', weight: 1 },
  cutToStore: { target: 'node', weight: 1 },
  cutFromStore: { target: 'node', weight: 1 },
  silenceStoreLink: { target: 'node', weight: 2 },
  repeatStoreAnswers: { target: 'node', weight: 1 },
  delayEndpoint: { target: 'endpoint', weight: 1 },
  trickleEndpoint: { target: 'endpoint', weight: 1 },
  resetEndpoint: { target: 'endpoint', weight: 1 },
  cutToEndpoint: { target: 'endpoint', weight: 1 },
  cutFromEndpoint: { target: 'endpoint', weight: 1 },
  silenceEndpoint: { target: 'endpoint', weight: 2 },
  repeatEndpointAnswers: { target: 'endpoint', weight: 1 },
  crashEndpoint: { target: 'endpoint', weight: 3 },
  replaceEndpoint: { target: 'endpoint', weight: 1 },
  slowEndpoint: { target: 'endpoint', weight: 1 },
  stallEndpoint: { target: 'endpoint', weight: 2 },
  endlessEndpoint: { target: 'endpoint', weight: 2 },
  breakOffEndpoint: { target: 'endpoint', weight: 1 },
  restEndpoint: { target: 'endpoint', weight: 3 },
  fillEndpoint: { target: 'endpoint', weight: 1 },
  leaveEndpoint: { target: 'endpoint', weight: 3 },
  doubleEndpointAnswers: { target: 'endpoint', weight: 1 },
  slowStore: { target: 'store', weight: 1 },
  downStore: { target: 'store', weight: 1 },
  losingStore: { target: 'store', weight: 1 },
  forgetfulStore: { target: 'store', weight: 1 },
  changeConfiguration: { target: 'configuration', weight: 3 },
  stormConfiguration: { target: 'configuration', weight: 1 },
  // Drawn by drawRestorations, and the departures by drawOddEntries.
  restoreStore: { target: 'store', weight: 0 },
  drainEndpoint: { target: 'endpoint', weight: 0 },
  withdrawEndpoint: { target: 'endpoint', weight: 0 },
  // Drawn by drawRateLimits only.
  limitEndpoint: { target: 'endpoint', weight: 0 },
  // Drawn by drawUnframedEnds only.
  crashUnframed: { target: 'endpoint', weight: 0 },
  drainUnframed: { target: 'endpoint', weight: 0 },
  expireUnframed: { target: 'endpoint', weight: 0 },
  restartUnframed: { target: 'endpoint', weight: 0 },
  // Drawn by drawSilences only.
  silenceConnections: { target: 'store', weight: 0 },
  // Drawn by drawOddEntries only.
  writeOddEntries: { target: 'store', weight: 0 },
  writeOddConfiguration: { target: 'configuration', weight: 0 },
} as const satisfies Record<string, { readonly target: FaultTarget; readonly weight: number }>;

/** Kind of a fault. */
export type FaultKind = keyof typeof FAULT_KINDS;

/** One fault of a schedule. */
export interface ScheduledFault {
  /** Time since the start of the run, in milliseconds. */
  readonly at: number;
  readonly kind: FaultKind;
  /** Index of the node or endpoint; number of the writing for odd entries; 0 for the store and the configuration. */
  readonly index: number;
  /** Duration of the fault, in milliseconds. */
  readonly milliseconds: number;
  /** Age of the copy that the store is restored from, in milliseconds. */
  readonly ageMilliseconds?: number;
  /** Numbers from 0 to 1 that choose the odd entries, or the odd configuration; one each. */
  readonly choices?: readonly number[];
}

/** Options of {@link drawSchedule}. */
export interface DrawScheduleOptions {
  readonly seed: number;
  /** Length of the run, in milliseconds. */
  readonly milliseconds: number;
  readonly nodes: number;
  readonly endpoints: number;
}

/** Mean time between the starts of two faults, in milliseconds; a fifth of it within a burst. */
const MEAN_PAUSE_MILLISECONDS = 700;
const BURST_SHARE = 0.25;
const BURST_FACTOR = 0.2;
const MINIMUM_FAULT_MILLISECONDS = 200;
const MAXIMUM_FAULT_MILLISECONDS = 5_000;

const KINDS = Object.keys(FAULT_KINDS) as FaultKind[];
const TOTAL_WEIGHT = KINDS.reduce((sum, kind) => sum + FAULT_KINDS[kind].weight, 0);

function pickKind(random: () => number): FaultKind {
  let remaining = random() * TOTAL_WEIGHT;
  for (const kind of KINDS) {
    remaining -= FAULT_KINDS[kind].weight;
    if (remaining < 0) return kind;
  }
  return 'changeConfiguration';
}

/**
 * Draws a schedule, in which faults occur in bursts and overlap.
 *
 * @param options - seed, length in milliseconds, and number of nodes and endpoints
 * @returns the faults in the order of their starts
 * @example
 * drawSchedule({ seed: 7, milliseconds: 30_000, nodes: 6, endpoints: 8 });
 */
export function drawSchedule(options: DrawScheduleOptions): ScheduledFault[] {
  const { seed, milliseconds, nodes, endpoints } = options;
  const random = createRandom(seed);
  const targetCounts: Readonly<Record<FaultTarget, number>> = {
    node: nodes,
    endpoint: endpoints,
    store: 1,
    configuration: 1,
  };
  const faults: ScheduledFault[] = [];
  let at = 0;
  for (;;) {
    const factor = random() < BURST_SHARE ? BURST_FACTOR : 1;
    at += -Math.log(1 - random()) * MEAN_PAUSE_MILLISECONDS * factor;
    if (at >= milliseconds) return faults;
    const kind = pickKind(random);
    const index = Math.floor(random() * targetCounts[FAULT_KINDS[kind].target]);
    const span = MAXIMUM_FAULT_MILLISECONDS - MINIMUM_FAULT_MILLISECONDS;
    // The square makes short faults more frequent.
    const duration = MINIMUM_FAULT_MILLISECONDS + span * random() ** 2;
    faults.push({ at: Math.round(at), kind, index, milliseconds: Math.round(duration) });
  }
}
