/**
 * Recorder of endpoints that end while requests run on them.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import { isLeavingEndpoint } from '../../../connection/createEndpointTable/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { EndpointProber } from '../createEndpointProber/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';

/** Run that lost the connection to its first endpoint. */
export interface BrokenRun {
  readonly endpoint: string;
  /** Unix time of the endpoint's start when the run was sent, in milliseconds. */
  readonly startedAt: number;
  /** Identifier of the caller's attempt. */
  readonly attempt: string;
  /** Parts of the request's prompt. */
  readonly parts: readonly string[];
  /** Number of events that the run delivered. */
  readonly events: number;
  readonly reason: string;
}

/** Options of {@link createCrashRecorder}. */
export interface CreateCrashRecorderOptions {
  readonly endpoints: Pick<EndpointTable, 'find'>;
  readonly prober: Pick<EndpointProber, 'probe'>;
  readonly clock: Clock;
  readonly logger: SiteLogger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
}

/** Recorder of one node. */
export interface CrashRecorder {
  /** Records a run that lost its connection; resolves to whether its endpoint has crashed. */
  readonly recordBrokenRun: (run: BrokenRun) => Promise<boolean>;
}

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

/**
 * Creates the recorder.
 *
 * An endpoint counts as crashed when it no longer returns its report, or reports a later start, after a
 * run lost its connection. An endpoint that is leaving or was removed from the registry has not crashed.
 *
 * @param options - the endpoints, their prober, the clock, the logger and the counters
 * @returns the recorder
 * @example
 * await createCrashRecorder(options).recordBrokenRun(run); // true
 */
export function createCrashRecorder(options: CreateCrashRecorderOptions): CrashRecorder {
  const { endpoints, prober, clock, logger, metrics } = options;
  const pending = new Map<string, PendingCrash>();

  const logCrash = (key: string): void => {
    const crash = pending.get(key);
    if (!crash) return;
    pending.delete(key);
    const { endpoint, bornAt, reason, runs } = crash;
    const unbegun = runs.filter(({ events }) => events === 0);
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
  const addRun = (run: BrokenRun): void => {
    const { endpoint, startedAt: bornAt, reason } = run;
    const key = `${endpoint}/${bornAt}`;
    const crash = pending.get(key);
    if (crash) crash.runs.push(run);
    if (crash || pending.size >= MAXIMUM_PENDING) return;
    metrics.count('endpoint_crashes');
    pending.set(key, { endpoint, bornAt, reason, runs: [run] });
    clock.schedule(GATHER_MILLISECONDS, () => {
      logCrash(key);
    });
  };
  const hasCrashed = async ({ endpoint: id, startedAt, reason }: BrokenRun): Promise<boolean> => {
    const endpoint = endpoints.find(id);
    if (!endpoint || isLeavingEndpoint(endpoint)) return false;
    const isResponding = await prober.probe(id, reason, clock.now());
    const known = endpoints.find(id);
    if (!known || isLeavingEndpoint(known)) return false;
    return !isResponding || known.record.startedAt !== startedAt;
  };
  return {
    recordBrokenRun: async (run) => {
      const isCrash = await hasCrashed(run);
      if (isCrash) addRun(run);
      return isCrash;
    },
  };
}
