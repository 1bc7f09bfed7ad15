/**
 * Count of the crashes that speak against one part of requests.
 */
import type { CrashReport } from '../../types/breaker/index.js';
import { OWN_PARTS } from '../listRequestParts/index.js';

/** Crashes that speak against a part. */
export interface CrashCount {
  readonly part: string;
  /** Reports of the part since its last success, oldest first. */
  readonly reports: readonly CrashReport[];
  /** Number of crashes that count: of different requests, one after the other. */
  readonly crashes: number;
  /** Number of endpoint incarnations that crashed, counted or not. */
  readonly endpoints: number;
  /** Time of the last crash in milliseconds. */
  readonly lastAt: number;
  /** Number of counted crashes from which the part is blocked. */
  readonly limit: number;
  /** Whether the part identifies a request, rather than being shared by several. */
  readonly isOwn: boolean;
}

/** Options of {@link countCrashes}. */
export interface CountCrashesOptions {
  readonly part: string;
  /** Reports that name the part, in any order. */
  readonly reports: readonly CrashReport[];
  /** Returns the time of the last success of a part in milliseconds; undefined when none is known. */
  readonly findSuccess: (part: string) => number | undefined;
}

/** Crashes that block a part without a recent success. */
const BASE_LIMIT = 2;
/** Additional crashes for a part that endpoints answered shortly before. */
const RECENT_SUCCESS_ALLOWANCE = 2;
/** Time for which a success counts as recent, in milliseconds. */
const RECENT_SUCCESS_MILLISECONDS = 300_000;
/** Additional crashes while all are of one address, whose endpoint may crash for causes of its own. */
const ONE_ADDRESS_ALLOWANCE = 1;
/** Additional crashes for a request of which all shared parts were answered. */
const PROVEN_PARTS_ALLOWANCE = 1;
/** Time within which several crashes count as one, as those of a rack or zone have one cause. */
const SAME_CAUSE_MILLISECONDS = 100;

/**
 * Returns the identifier of a crash: the endpoint and its start.
 *
 * @param report - a report of the crash
 * @returns the identifier
 * @example
 * identifyCrash({ endpoint: 'i-1', startedAt: 5 }); // 'i-1/5'
 */
export function identifyCrash({
  endpoint,
  startedAt,
}: Pick<CrashReport, 'endpoint' | 'startedAt'>): string {
  return `${endpoint}/${startedAt}`;
}

/** Counts the moments at which endpoints crashed; crashes at the same moment may have one cause. */
function countMoments(reports: readonly CrashReport[]): number {
  const crashes = new Set<string>();
  let moments = 0;
  let momentAt = Number.NEGATIVE_INFINITY;
  for (const report of reports) {
    const crash = identifyCrash(report);
    const isSameMoment = report.sentAt < momentAt && report.at - momentAt < SAME_CAUSE_MILLISECONDS;
    if (crashes.has(crash) || isSameMoment) continue;
    crashes.add(crash);
    momentAt = report.at;
    moments += 1;
  }
  return moments;
}

/** Counts the requests of reports; a request that is repeated adds no evidence on shared parts. */
function countRequests(reports: readonly CrashReport[]): number {
  return new Set(reports.map(({ parts, attempt }) => parts.at(-1) ?? attempt)).size;
}

/**
 * Counts the crashes that speak against a part: those since its last success.
 *
 * @param options - the part, its reports, and the times of successes in milliseconds
 * @returns the count
 * @example
 * countCrashes({ part: 'a1', reports: [], findSuccess: () => undefined }).crashes; // 0
 */
export function countCrashes(options: CountCrashesOptions): CrashCount {
  const { part, reports, findSuccess } = options;
  const lastSuccessAt = findSuccess(part) ?? Number.NEGATIVE_INFINITY;
  const later = reports
    .filter(({ at }) => at > lastSuccessAt)
    .sort((left, right) => left.at - right.at);
  const isOwn = later.some(({ parts }) => parts.at(-1) === part);
  const moments = countMoments(later);
  const firstAt = later[0]?.at ?? Number.POSITIVE_INFINITY;
  const isRecentlyAnswered = firstAt - lastSuccessAt < RECENT_SUCCESS_MILLISECONDS;
  const hasOneAddress = new Set(later.map(({ address }) => address)).size === 1;
  const shared = later[0]?.parts.slice(0, -OWN_PARTS) ?? [];
  const isOfProvenParts =
    isOwn && shared.length > 0 && shared.every((other) => findSuccess(other) !== undefined);
  return {
    part,
    reports: later,
    crashes: isOwn ? moments : Math.min(moments, countRequests(later)),
    endpoints: new Set(later.map(identifyCrash)).size,
    lastAt: later.at(-1)?.at ?? Number.NEGATIVE_INFINITY,
    limit:
      BASE_LIMIT +
      (isRecentlyAnswered ? RECENT_SUCCESS_ALLOWANCE : 0) +
      (hasOneAddress ? ONE_ADDRESS_ALLOWANCE : 0) +
      (isOfProvenParts ? PROVEN_PARTS_ALLOWANCE : 0),
    isOwn,
  };
}
