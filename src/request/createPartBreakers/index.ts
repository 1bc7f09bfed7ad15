/**
 * Circuit breakers for the parts of requests: blocks those that crash each endpoint that answers them.
 *
 * A crash is reported with all parts of the requests that had no answer yet. A success of a part refutes
 * the reports before it, so that of these parts only the cause remains. Nodes that know the same reports
 * and successes block the same parts, whichever of them saw the crashes.
 */
import { hashText } from '../../process/hashRendezvous/index.js';
import type { BreakerState, CrashReport, PartFacts, PartTime } from '../../types/breaker/index.js';
import { computeBreakerStates } from '../computeBreakerStates/index.js';
import { countCrashes, type CrashCount } from '../countCrashes/index.js';
import { MAXIMUM_PART_LENGTH, MAXIMUM_PARTS } from '../limitPromptParts/index.js';
import { OWN_PARTS } from '../listRequestParts/index.js';
import { createSuccessTable } from '../createSuccessTable/index.js';

/** Decision about a request: pass it on, try it for a blocked part, or block it. */
export type PartDecision =
  | { readonly kind: 'passed' }
  | {
      readonly kind: 'trial';
      readonly part: string;
      /** Time from which the part may be tried; changes with each crash. */
      readonly retryAt: number;
    }
  | {
      readonly kind: 'blocked';
      readonly part: string;
      readonly retryAt: number;
      /** Time until a request with the part may be tried, in milliseconds. */
      readonly retryMilliseconds: number;
    };

type OpenState = Extract<BreakerState, { readonly kind: 'open' }>;

/** Blocked part, with what decided it. */
export interface BlockedPart {
  readonly part: string;
  readonly state: OpenState;
  readonly reports: readonly CrashReport[];
}

/** Change of the state of a part. */
export type PartChange =
  ({ readonly kind: 'opened' } & BlockedPart) | { readonly kind: 'closed'; readonly part: string };

/** Options of {@link createPartBreakers}. */
export interface CreatePartBreakersOptions {
  /** Name of the node; nodes try a blocked part at different times. */
  readonly node: string;
  /** Called when the breaker of a part opens, opens for longer, or closes. */
  readonly onChange: (change: PartChange) => void;
}

/** Breakers of all parts that one node knows. */
export interface PartBreakers {
  /** Decides about a request with the given parts at a time in milliseconds. */
  readonly decide: (parts: readonly string[], now: number) => PartDecision;
  /**
   * Adds facts, own ones and those of other nodes; returns those that are new for a reported part.
   */
  readonly add: (facts: Partial<PartFacts>, now: number) => PartFacts;
  /** Records that an endpoint answers a request; returns the successes that other nodes should know. */
  readonly recordSuccess: (parts: readonly string[], now: number) => readonly PartTime[];
  /** Lists the known successes of the parts that reports name. */
  readonly listSuccesses: (reports: readonly CrashReport[]) => readonly PartTime[];
  /** Lists all reports and trials, and the successes of their parts, for nodes that missed them. */
  readonly listFacts: (now: number) => PartFacts;
  /** Lists the latest successes, those of parts without reports included. */
  readonly listLatestSuccesses: () => readonly PartTime[];
  readonly listBlocked: () => readonly BlockedPart[];
  /** Returns whether any crash is known whose cause is not refuted. */
  readonly hasReports: () => boolean;
  /** Returns whether a crash of another request than the reported one is known for one of its parts. */
  readonly isSuspect: (report: CrashReport) => boolean;
  /** Returns whether a success is known of each part that a request with these parts shares. */
  readonly isProven: (parts: readonly string[]) => boolean;
}

/** Reports that are kept of all parts together, and of one part. */
const MAXIMUM_REPORTS = 512;
const MAXIMUM_REPORTS_OF_PART = 12;
/** Time after which a further success of a part is announced again, in milliseconds. */
const SUCCESS_REFRESH_MILLISECONDS = 120_000;
const MAXIMUM_LATEST_SUCCESSES = 1_000;
/** Time for which a report is kept, in milliseconds; longer than the longest pause. */
const REPORT_EXPIRY_MILLISECONDS = 1_200_000;
/** Minimum time until the next trial after one without an outcome, in milliseconds. */
const TRIAL_MILLISECONDS = 2_000;
/** Factor between the times that follow, as an endpoint may refuse each trial. */
const TRIAL_FACTOR = 4;
const MAXIMUM_TRIAL_PAUSE_MILLISECONDS = 600_000;
/** Trials that are kept of one part. */
const MAXIMUM_TRIALS_OF_PART = 8;
/** Maximum difference between the times of one trial on several nodes, in milliseconds. */
const SAME_TRIAL_MILLISECONDS = 1_000;
/** Maximum time over which the nodes' first trials of a part are spread, in milliseconds. */
const TRIAL_SPREAD_MILLISECONDS = 5_000;
const MINIMUM_RETRY_MILLISECONDS = 1_000;
const HASH_RANGE = 2 ** 32;

interface PartRecord {
  reports: CrashReport[];
  count: CrashCount;
  state: BreakerState;
  /** Times of the last trials in milliseconds, oldest first. */
  trials: readonly number[];
}

const CLOSED: BreakerState = { kind: 'closed' };

function createRecord(part: string): PartRecord {
  const count = countCrashes({ part, reports: [], findSuccess: () => undefined });
  return { reports: [], count, state: CLOSED, trials: [] };
}

function identifyReport({ endpoint, startedAt, attempt }: CrashReport): string {
  return `${endpoint}/${startedAt}/${attempt}`;
}

function isReadable({ parts, endpoint, attempt, address }: CrashReport): boolean {
  const texts = [...parts, endpoint, attempt, address];
  const isShort = texts.every(({ length }) => length <= MAXIMUM_PART_LENGTH);
  return isShort && parts.length > 0 && parts.length <= MAXIMUM_PARTS;
}

/** Returns when the next trial may follow those since the last crash, none of which had an outcome. */
function findTrialEnd(
  trials: readonly number[],
  { retryAt, pauseMilliseconds }: OpenState,
): number {
  const open = trials.filter((at) => at > retryAt - pauseMilliseconds);
  const lastAt = open.at(-1);
  if (lastAt === undefined) return Number.NEGATIVE_INFINITY;
  const first = Math.max(TRIAL_MILLISECONDS, pauseMilliseconds);
  const pause = first * TRIAL_FACTOR ** (open.length - 1);
  return lastAt + Math.min(MAXIMUM_TRIAL_PAUSE_MILLISECONDS, pause);
}

/**
 * Creates breakers without any reports.
 *
 * @param options - the node, and the callback for changes
 * @returns the breakers
 * @example
 * createPartBreakers({ node: 'node-1', onChange }).decide(['a1', 'b2'], now).kind; // 'passed'
 */
export function createPartBreakers(options: CreatePartBreakersOptions): PartBreakers {
  const { node, onChange } = options;
  /** Reports by identifier, oldest first. */
  const reports = new Map<string, CrashReport>();
  const records = new Map<string, PartRecord>();
  /** Counts of the parts with enough crashes to be blocked, if no other part explains them. */
  const suspects = new Map<string, CrashCount>();
  const successes = createSuccessTable();

  const updateCount = (part: string, record: PartRecord): void => {
    const findSuccess = (other: string): number | undefined => successes.get(other);
    record.count = countCrashes({ part, reports: record.reports, findSuccess });
    suspects.delete(part);
    if (record.count.crashes >= record.count.limit) suspects.set(part, record.count);
  };
  /** Applies the counts to the states of all parts, and reports what changed. */
  const updateStates = (): void => {
    const open = computeBreakerStates(suspects.values());
    const changes: PartChange[] = [];
    for (const [part, record] of records) {
      const before = record.state;
      const state: BreakerState = open.get(part) ?? CLOSED;
      record.state = state;
      if (state.kind === 'closed') {
        if (before.kind === 'open') changes.push({ kind: 'closed', part });
        continue;
      }
      const isSame = before.kind === 'open' && before.retryAt === state.retryAt;
      if (!isSame) changes.push({ kind: 'opened', part, state, reports: record.reports });
    }
    changes.forEach(onChange);
  };
  const removeReport = (report: CrashReport): void => {
    reports.delete(identifyReport(report));
    for (const part of report.parts) {
      const record = records.get(part);
      if (!record) continue;
      record.reports = record.reports.filter((other) => other !== report);
      if (record.reports.length > 0) {
        updateCount(part, record);
        continue;
      }
      records.delete(part);
      suspects.delete(part);
      if (record.state.kind === 'open') onChange({ kind: 'closed', part });
    }
  };
  const isOpen = (part: string): boolean => records.get(part)?.state.kind === 'open';
  const isRefuted = ({ parts, at }: CrashReport): boolean =>
    parts.every((part) => (successes.get(part) ?? Number.NEGATIVE_INFINITY) > at);
  const dropOld = (now: number): void => {
    const known = [...reports.values()];
    const dropped = known.filter(({ at }) => now - at > REPORT_EXPIRY_MILLISECONDS);
    if (known.length - dropped.length > MAXIMUM_REPORTS) {
      const least = known.find(({ parts }) => !parts.some(isOpen)) ?? known[0];
      if (least) dropped.push(least);
    }
    if (dropped.length === 0) return;
    dropped.forEach(removeReport);
    updateStates();
  };
  const addReport = (report: CrashReport, now: number): boolean => {
    const id = identifyReport(report);
    if (reports.has(id) || !isReadable(report)) return false;
    if (now - report.at > REPORT_EXPIRY_MILLISECONDS || isRefuted(report)) return false;
    reports.set(id, report);
    // Where a blocked part explains the crash, the other parts of the request are not its cause.
    const blocked = report.parts.filter(isOpen);
    for (const part of blocked.length > 0 ? blocked : report.parts) {
      const record = records.get(part) ?? createRecord(part);
      records.set(part, record);
      record.reports = [...record.reports, report].slice(-MAXIMUM_REPORTS_OF_PART);
      updateCount(part, record);
    }
    dropOld(now);
    updateStates();
    return true;
  };
  /** Adds a success; returns whether it may change how reports of the part are weighed. */
  const addSuccess = ({ part, at }: PartTime): boolean => {
    const before = successes.get(part);
    if (part.length > MAXIMUM_PART_LENGTH || !successes.set(part, at)) return false;
    const record = records.get(part);
    const isNews = before === undefined || at - before > SUCCESS_REFRESH_MILLISECONDS;
    if (!record) return isNews;
    const { reports: named } = record;
    updateCount(part, record);
    for (const report of named) if (isRefuted(report)) removeReport(report);
    updateStates();
    return isNews || named.some((report) => report.at > before && report.at < at);
  };
  const addTrial = ({ part, at }: PartTime): boolean => {
    const record = records.get(part);
    if (
      !record ||
      at - (record.trials.at(-1) ?? Number.NEGATIVE_INFINITY) < SAME_TRIAL_MILLISECONDS
    )
      return false;
    record.trials = [...record.trials, at].slice(-MAXIMUM_TRIALS_OF_PART);
    return true;
  };
  /** Returns when this node may try a blocked part. */
  const findTrialTime = (part: string, record: PartRecord): number => {
    if (record.state.kind === 'closed') return Number.NEGATIVE_INFINITY;
    const { retryAt, crashes, pauseMilliseconds } = record.state;
    const share = hashText(`${node}/${part}/${crashes}`) / HASH_RANGE;
    const spread = share * Math.min(TRIAL_SPREAD_MILLISECONDS, pauseMilliseconds);
    return Math.max(retryAt + spread, findTrialEnd(record.trials, record.state));
  };
  const listPartSuccesses = (parts: Iterable<string>): PartTime[] =>
    [...parts].flatMap((part) => {
      const at = successes.get(part);
      return at === undefined ? [] : [{ part, at }];
    });

  return {
    decide: (parts, now) => {
      const blocked = parts.flatMap((part) => {
        const record = records.get(part);
        if (record?.state.kind !== 'open') return [];
        return [{ part, retryAt: record.state.retryAt, trialAt: findTrialTime(part, record) }];
      });
      const [first, second] = blocked;
      if (!first) return { kind: 'passed' };
      // With two blocked parts, a crash would not show which of them is the cause.
      const { part, retryAt } = first;
      if (!second && first.trialAt <= now) return { kind: 'trial', part, retryAt };
      const waits = blocked.map(({ trialAt }) => trialAt - now);
      const retryMilliseconds = Math.max(MINIMUM_RETRY_MILLISECONDS, ...waits);
      return { kind: 'blocked', part, retryAt, retryMilliseconds };
    },
    add: (facts, now) => ({
      successes: (facts.successes ?? []).filter(addSuccess),
      reports: (facts.reports ?? []).filter((report) => addReport(report, now)),
      trials: (facts.trials ?? []).filter(addTrial),
    }),
    recordSuccess: (parts, now) =>
      parts
        // A request's own parts are rarely seen again, so their success matters only to a report.
        .filter((part, index) => index < parts.length - OWN_PARTS || records.has(part))
        .map((part) => ({ part, at: now }))
        .filter(addSuccess),
    listSuccesses: (named) => listPartSuccesses(new Set(named.flatMap(({ parts }) => parts))),
    listFacts: (now) => {
      dropOld(now);
      return {
        reports: [...reports.values()],
        successes: listPartSuccesses(records.keys()),
        trials: [...records]
          .flatMap(([part, { state, trials }]) => {
            const at = trials.at(-1);
            return state.kind === 'closed' || at === undefined ? [] : [{ part, at }];
          })
          .sort((left, right) => right.at - left.at),
      };
    },
    listLatestSuccesses: () => successes.listLatest(MAXIMUM_LATEST_SUCCESSES),
    listBlocked: () =>
      [...records].flatMap(([part, record]) => {
        const { state, reports: own } = record;
        return state.kind === 'open' ? [{ part, state, reports: own }] : [];
      }),
    hasReports: () => reports.size > 0,
    isSuspect: ({ parts, attempt }) =>
      parts.some((part) => records.get(part)?.reports.some((other) => other.attempt !== attempt)),
    isProven: (parts) => parts.slice(0, -OWN_PARTS).every((part) => successes.has(part)),
  };
}
