/**
 * Recorder of endpoints that end while requests run on them.
 */
import {
  isLeavingEndpoint,
  type Endpoint,
  type EndpointTable,
} from '../../../connection/createEndpointTable/index.js';
import type { CrashReport } from '../../../types/breaker/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { EndpointPort } from '../../../types/relay/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { EndpointProber } from '../createEndpointProber/index.js';
import type { LinkMonitor } from '../createLinkMonitor/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';

/** Run that lost the connection to its endpoint, on a path to the first one. */
export interface BrokenRun {
  readonly endpoint: string;
  /** Unix time of the endpoint's start when the run was sent, in milliseconds. */
  readonly startedAt: number;
  /** Identifier of the caller's attempt. */
  readonly attempt: string;
  /** Parts of the request; the last one identifies the request itself. */
  readonly parts: readonly string[];
  /** Time at which the run was sent, in milliseconds. */
  readonly sentAt: number;
  /** Number of events that the run delivered. */
  readonly events: number;
  readonly reason: string;
  /** How to find out whether the endpoint has crashed. */
  readonly check: CrashCheck;
  /** Whether the endpoint was found to run after the connection was lost; undefined where that is to be checked. */
  readonly isRunning?: boolean | undefined;
}

/** Check of an endpoint: by its report, or, where it has none, by a connection. */
export type CrashCheck = 'report' | 'connection';

/** Options of {@link createCrashRecorder}. */
export interface CreateCrashRecorderOptions {
  readonly endpoints: Pick<EndpointTable, 'find'>;
  readonly prober: Pick<EndpointProber, 'probe'>;
  readonly endpointPort: Pick<EndpointPort, 'isListening'>;
  readonly links: Pick<LinkMonitor, 'record' | 'confirmIsolated'>;
  readonly clock: Clock;
  readonly logger: SiteLogger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
}

/** Recorder of one node. */
export interface CrashRecorder {
  /** Records a run that lost its connection; resolves to what was found out about its endpoint. */
  readonly recordBrokenRun: (run: BrokenRun) => Promise<CrashFinding>;
}

/** Whether an endpoint has crashed, with a report when the run may have caused that. */
export interface CrashFinding {
  readonly hasCrashed: boolean;
  readonly report?: CrashReport;
}

const NO_CRASH: CrashFinding = { hasCrashed: false };

/** Runs of one crash that were not logged yet. */
interface PendingCrash {
  readonly endpoint: string;
  readonly bornAt: number;
  readonly reason: string;
  readonly runs: BrokenRun[];
}

/** Time in which the broken runs of one crash are gathered into one line, in milliseconds. */
const GATHER_MILLISECONDS = 50;
const MAXIMUM_LOGGED_ATTEMPTS = 16;
const MAXIMUM_LOGGED_PARTS = 32;
/** Maximum number of crashes whose runs are gathered at the same time. */
const MAXIMUM_PENDING = 256;
/** Number of events that a run has to deliver before it cannot have caused a crash at its beginning. */
export const ESTABLISHED_EVENTS = 2;

/** Returns whether a run may have caused the crash of its endpoint as it began to answer. */
function isSuspect({ events }: BrokenRun): boolean {
  return events < ESTABLISHED_EVENTS;
}

/**
 * Creates the recorder.
 *
 * An endpoint counts as crashed when it no longer returns its report, or reports a later start, after a
 * run lost its connection. An endpoint that is leaving or was removed from the registry has not crashed; a node
 * that is cut off itself reports no crash.
 *
 * @param options - the endpoints, their prober, the clock, the logger and the counters
 * @returns the recorder
 * @example
 * (await createCrashRecorder(options).recordBrokenRun(run)).hasCrashed;
 */
export function createCrashRecorder(options: CreateCrashRecorderOptions): CrashRecorder {
  const { endpoints, prober, endpointPort, links, clock, logger, metrics } = options;
  const pending = new Map<string, PendingCrash>();

  const logCrash = (key: string): void => {
    const crash = pending.get(key);
    if (!crash) return;
    pending.delete(key);
    const { endpoint, bornAt, reason, runs } = crash;
    const unbegun = runs.filter(isSuspect);
    const parts = new Set(unbegun.flatMap((run) => run.parts));
    logger.log('endpoint-crashed', {
      endpoint,
      bornAt,
      reason,
      begun: runs.length - unbegun.length,
      unbegun: unbegun.length,
      attempts: unbegun
        .slice(0, MAXIMUM_LOGGED_ATTEMPTS)
        .map(({ attempt }) => attempt)
        .join(' '),
      parts: [...parts].slice(0, MAXIMUM_LOGGED_PARTS).join(' '),
    });
  };
  const findPending = ({
    endpoint,
    startedAt: bornAt,
    reason,
  }: BrokenRun): PendingCrash | undefined => {
    const key = `${endpoint}/${bornAt}`;
    const known = pending.get(key);
    if (known || pending.size >= MAXIMUM_PENDING) return known;
    const crash = { endpoint, bornAt, reason, runs: [] };
    pending.set(key, crash);
    metrics.count('endpoint_crashes');
    clock.schedule(GATHER_MILLISECONDS, () => {
      logCrash(key);
    });
    return crash;
  };
  const isResponding = async (
    { endpoint, reason, check }: BrokenRun,
    address: string,
  ): Promise<boolean> => {
    const checkedAt = clock.now();
    if (check === 'report') return prober.probe(endpoint, reason, checkedAt);
    const isListening = await endpointPort.isListening(address);
    links.record(endpoint, isListening, checkedAt);
    return isListening;
  };
  const findPresent = (id: string): Endpoint | undefined => {
    const endpoint = endpoints.find(id);
    return endpoint && !isLeavingEndpoint(endpoint) ? endpoint : undefined;
  };
  return {
    recordBrokenRun: async (run) => {
      const address = findPresent(run.endpoint)?.record.address;
      if (address === undefined) return NO_CRASH;
      if (run.isRunning ?? (await isResponding(run, address))) {
        const restarted = findPresent(run.endpoint);
        if (!restarted || restarted.record.startedAt === run.startedAt) return NO_CRASH;
      }
      // An endpoint that this node does not reach need not have ended, but its response may be incomplete.
      if (await links.confirmIsolated()) return { hasCrashed: true };
      if (!findPresent(run.endpoint)) return NO_CRASH;
      findPending(run)?.runs.push(run);
      const { endpoint, startedAt, attempt, parts, sentAt } = run;
      const report = { endpoint, startedAt, address, attempt, parts, sentAt, at: clock.now() };
      return { hasCrashed: true, ...(isSuspect(run) && { report }) };
    },
  };
}
