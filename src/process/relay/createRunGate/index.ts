/**
 * Gate of one request: decides before each run whether the request may reach an endpoint.
 */
import { MILLISECONDS_PER_SECOND } from '../../../constants/index.js';
import type {
  PartBreakers,
  PartChange,
  PartDecision,
} from '../../../request/createPartBreakers/index.js';
import { OWN_PARTS } from '../../../request/listRequestParts/index.js';
import type { CrashReport, PartFacts } from '../../../types/breaker/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { RequestLog } from '../createRequestLog/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';

/** Reason why a request may not reach an endpoint. */
export interface BlockedRun {
  readonly part: string;
  /** Time after which the caller may retry, in seconds. */
  readonly retryAfterSeconds: number;
}

/** Gate of one request. */
export interface RunGate {
  /** Returns the parts of the request; the last one identifies the request itself. */
  readonly listParts: () => readonly string[];
  /** Returns why the request must not be sent to an endpoint now; undefined when it may be. */
  readonly admitRun: () => BlockedRun | undefined;
  /** Returns why the current run must end; undefined when it may go on. */
  readonly check: () => BlockedRun | undefined;
  /** Records that an endpoint answers the request, which shows that its parts are harmless. */
  readonly recordAnswer: () => void;
  /** Records that an endpoint crashed as the request ran on it without an answer. */
  readonly recordCrash: (report: CrashReport) => void;
  /** Returns whether the request may run on another endpoint after one crashed. */
  readonly mayRepeatAfterCrash: () => boolean;
  /** Ends the gate when the caller has its response or has disconnected. */
  readonly end: () => void;
  /** Registers a callback for a part of the request that becomes blocked; returns its removal. */
  readonly onBlocked: (callback: () => void) => () => void;
}

/** Options of {@link createRunGate}. */
export interface CreateRunGateOptions {
  readonly breakers: PartBreakers;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: RequestLog;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  /** Computes the parts of the request; called once at most, and only when they are needed. */
  readonly readParts: () => readonly string[];
  /** Parts that are known without a computation, so that each answer is recorded; none for a plain request. */
  readonly promptParts: readonly string[];
  /** Announces facts that this node found to the other nodes. */
  readonly announce: (facts: Partial<PartFacts>) => void;
  /** Registers a callback for changes of parts; returns its removal. */
  readonly onChange: (callback: (change: PartChange) => void) => () => void;
}

type Blocked = Extract<PartDecision, { readonly kind: 'blocked' }>;

const MAXIMUM_LOGGED_REPORTS = 8;
/** Stands for the identity of a request where no report can name it. */
const UNKNOWN_IDENTITY = '';

/**
 * Creates the gate of one request.
 *
 * @param options - the breakers, the request's parts, the log, and the announcement to other nodes
 * @returns the gate
 * @example
 * createRunGate(options).admitRun(); // undefined
 */
export function createRunGate(options: CreateRunGateOptions): RunGate {
  const { breakers, clock, log, metrics, promptParts, announce, onChange } = options;
  let parts: readonly string[] | undefined;
  const listParts = (): readonly string[] => (parts ??= options.readParts());
  /** Blocked part that this request tries, with its state at that time. */
  let trial: Pick<Blocked, 'part' | 'retryAt'> | undefined;

  /** Crashes that were not announced to the other nodes; an answer of the request refutes them. */
  let unannounced: CrashReport[] = [];
  let crashes = 0;
  const announceCrashes = (): void => {
    if (unannounced.length > 0) announce({ reports: unannounced });
    unannounced = [];
  };

  const describeBlocked = ({ part, retryMilliseconds }: Blocked): BlockedRun => {
    const reports = breakers.listBlocked().find((blocked) => blocked.part === part)?.reports ?? [];
    const logged = reports.slice(-MAXIMUM_LOGGED_REPORTS);
    metrics.count('blocked_requests');
    log.add('request-blocked', {
      part,
      endpoints: logged.map(({ endpoint }) => endpoint).join(' '),
      causes: logged.map(({ attempt }) => attempt).join(' '),
      retryMilliseconds: Math.round(retryMilliseconds),
    });
    return { part, retryAfterSeconds: retryMilliseconds / MILLISECONDS_PER_SECOND };
  };
  const beginTrial = ({
    part,
    retryAt,
  }: Extract<PartDecision, { readonly kind: 'trial' }>): void => {
    trial = { part, retryAt };
    const facts = { trials: [{ part, at: clock.now() }] };
    breakers.add(facts, clock.now());
    announce(facts);
    metrics.count('part_trials');
    log.add('part-tried', { part });
  };
  const isOwnTrial = ({ part, retryAt }: Blocked): boolean =>
    trial?.part === part && trial.retryAt === retryAt;
  const decide = (): Blocked | undefined => {
    if (!breakers.hasReports()) return undefined;
    const decision = breakers.decide(listParts(), clock.now());
    if (decision.kind === 'trial') beginTrial(decision);
    return decision.kind === 'blocked' ? decision : undefined;
  };

  return {
    listParts,
    // A trial is one run: where an endpoint refuses it, the next one may crash.
    admitRun: () => {
      const blocked = decide();
      return blocked && describeBlocked(blocked);
    },
    check: () => {
      const blocked = decide();
      return blocked && !isOwnTrial(blocked) ? describeBlocked(blocked) : undefined;
    },
    recordCrash: (report) => {
      crashes += 1;
      if (breakers.add({ reports: [report] }, clock.now()).reports.length === 0) return;
      unannounced.push(report);
      if (unannounced.length > 1 || breakers.isSuspect(report)) announceCrashes();
    },
    // Where no endpoint ever answered a part, the next one would show nothing but another crash.
    mayRepeatAfterCrash: () => crashes === 0 || breakers.isProven(listParts()),
    end: () => {
      // Parts that endpoints answered are not the cause; the request itself may be.
      if (unannounced.length > 0 && breakers.isProven(listParts()))
        unannounced = unannounced.map((report) => ({
          ...report,
          parts: report.parts.slice(-OWN_PARTS),
        }));
      announceCrashes();
    },
    recordAnswer: () => {
      // Other nodes need the success of the request's own parts only if they know of its crashes.
      const own = unannounced.length > 0 ? listParts().slice(-OWN_PARTS) : [];
      unannounced = [];
      const hasReports = breakers.hasReports();
      if (promptParts.length === 0 && !hasReports) return;
      const known = hasReports ? listParts() : [...promptParts, UNKNOWN_IDENTITY];
      const recorded = breakers.recordSuccess(known, clock.now());
      const successes = recorded.filter(({ part }) => !own.includes(part));
      if (successes.length > 0) announce({ successes });
    },
    onBlocked: (callback) =>
      onChange((change) => {
        if (change.kind === 'opened' && listParts().includes(change.part)) callback();
      }),
  };
}
