/**
 * Figures of a played day.
 */
import { z } from 'zod';
import type { CallerOutcome, CallerRecord } from '../createVirtualCallers/index.js';
import type { DayResult } from '../playDay/index.js';

/** Figures of a group of requests. */
export interface RequestFigures {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Share of requests that were answered completely, in time or late. */
  readonly served: number;
  /** Quantiles of the time to the first event and of the longest pause, in milliseconds. */
  readonly firstP50: number;
  readonly firstP95: number;
  readonly pauseP95: number;
}

/** Figures of a day. */
export interface DayFigures {
  readonly all: RequestFigures;
  readonly classes: Readonly<Record<string, RequestFigures>>;
  /** Figures of the streams by priority. */
  readonly priorities: Readonly<Record<string, RequestFigures>>;
  /** Served shares: of the largest tenth of prompts, of the account with the fewest streams, of all. */
  readonly fairness: {
    readonly largestTenth: number;
    readonly smallestAccount: number;
    readonly streams: number;
  };
  /** Quantiles of measured over predicted time to the first event, for streams that were sent once. */
  readonly firstAgainstPredicted: Quantiles;
  readonly pauseAgainstPredicted: Quantiles;
  readonly engines: {
    readonly events: number;
    readonly preempted: number;
    readonly refused: number;
    readonly refusedFor: Readonly<Record<string, number>>;
    readonly moves: number;
    readonly orders: number;
  };
  readonly gaps: { readonly count: number; readonly p50: number; readonly longest: number };
  /** Calls per second of all nodes together. */
  readonly callsPerSecond: Readonly<Record<string, number>>;
  readonly peerBytesPerNodeSecond: number;
  readonly broken: DayResult['broken'];
  readonly failedFor: Readonly<Record<string, number>>;
}

/** Quantiles of a distribution. */
export interface Quantiles {
  readonly count: number;
  readonly p10: number;
  readonly p50: number;
  readonly p90: number;
}

const LARGEST_SHARE = 0.1;

function computeQuantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function round(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}

function countOutcome(records: readonly CallerRecord[], outcome: CallerOutcome): number {
  return records.filter((record) => record.outcome === outcome).length;
}

function isServed({ outcome }: CallerRecord): boolean {
  return outcome === 'inTime' || outcome === 'late';
}

function computeServedShare(records: readonly CallerRecord[]): number {
  return round(records.filter(isServed).length / Math.max(1, records.length));
}

function summarizeRequests(records: readonly CallerRecord[]): RequestFigures {
  const served = records.filter(isServed);
  const firsts = served.map(({ firstMilliseconds }) => firstMilliseconds);
  const pauses = served.map(({ longestPause }) => longestPause);
  return {
    asked: records.length,
    inTime: countOutcome(records, 'inTime'),
    late: countOutcome(records, 'late'),
    refused: countOutcome(records, 'refused'),
    failed: countOutcome(records, 'failed'),
    served: computeServedShare(records),
    firstP50: Math.round(computeQuantile(firsts, 0.5)),
    firstP95: Math.round(computeQuantile(firsts, 0.95)),
    pauseP95: Math.round(computeQuantile(pauses, 0.95)),
  };
}

function groupBy(
  records: readonly CallerRecord[],
  read: (record: CallerRecord) => string,
): Map<string, CallerRecord[]> {
  const groups = new Map<string, CallerRecord[]>();
  for (const record of records) {
    const group = groups.get(read(record)) ?? [];
    group.push(record);
    groups.set(read(record), group);
  }
  return groups;
}

function summarizeFairness(records: readonly CallerRecord[]): DayFigures['fairness'] {
  const streams = records.filter(({ promptTokens }) => promptTokens > 0);
  const bySize = [...streams].sort((left, right) => right.promptTokens - left.promptTokens);
  const largest = bySize.slice(0, Math.ceil(bySize.length * LARGEST_SHARE));
  const accounts = [...groupBy(streams, ({ account }) => account).values()];
  const [smallest = []] = accounts.sort((left, right) => left.length - right.length);
  return {
    largestTenth: computeServedShare(largest),
    smallestAccount: computeServedShare(smallest),
    streams: computeServedShare(streams),
  };
}

/** Fields of the log event `path-chosen`. */
const choiceSchema = z.object({
  request: z.string(),
  predictedFirst: z.number(),
  predictedPause: z.number(),
});
/** Fields of the log event `request-answered`, for a request that was logged as a sample. */
const answerSchema = z.object({
  request: z.string(),
  first: z.number(),
  pause: z.number(),
  sends: z.number(),
  told: z.literal('sample'),
});

function computeQuantiles(values: readonly number[]): Quantiles {
  return {
    count: values.length,
    p10: round(computeQuantile(values, 0.1), 2),
    p50: round(computeQuantile(values, 0.5), 2),
    p90: round(computeQuantile(values, 0.9), 2),
  };
}

/**
 * Compares measured with predicted times. Counts only requests that were logged as a sample: including
 * those that were logged because they were slow would bias the figures.
 */
function comparePredictions({ lines }: DayResult): {
  readonly first: Quantiles;
  readonly pause: Quantiles;
} {
  const choices = new Map<string, z.infer<typeof choiceSchema>>();
  const firsts: number[] = [];
  const pauses: number[] = [];
  for (const { event, fields } of lines) {
    if (event === 'path-chosen') {
      const choice = choiceSchema.parse(fields);
      choices.set(choice.request, choice);
    }
    if (event !== 'request-answered') continue;
    const answer = answerSchema.safeParse(fields).data;
    const choice = answer && choices.get(answer.request);
    if (!choice || answer.sends > 1) continue;
    firsts.push(answer.first / Math.max(1, choice.predictedFirst));
    if (answer.pause > 0) pauses.push(answer.pause / Math.max(1, choice.predictedPause));
  }
  return { first: computeQuantiles(firsts), pause: computeQuantiles(pauses) };
}

/**
 * Summarizes a day.
 *
 * @param result - result of the day
 * @returns its figures
 * @example
 * summarizeDay(await playDay({ site, day, seed: 1 })).all.inTime;
 */
export function summarizeDay(result: DayResult): DayFigures {
  const { records, engineCounts, portCounts, storeCalls, gaps, peerBytes, nodes } = result;
  const seconds = (result.firstAt + result.milliseconds) / 1_000;
  const classes = groupBy(records, ({ requestClass }) => requestClass);
  const priorities = groupBy(
    records.filter(({ promptTokens }) => promptTokens > 0),
    ({ priority }) => String(priority),
  );
  const failed = records.filter((record) => !isServed(record));
  const gapMilliseconds = gaps.map(({ milliseconds }) => milliseconds);
  const predictions = comparePredictions(result);
  const calls = [
    ...[...storeCalls].map(([kind, count]) => [`store ${kind}`, count] as const),
    ['reports', portCounts.reports] as const,
    ['orders', portCounts.orders] as const,
  ];
  return {
    all: summarizeRequests(records),
    classes: Object.fromEntries(
      [...classes].map(([name, group]) => [name, summarizeRequests(group)]),
    ),
    priorities: Object.fromEntries(
      [...priorities].map(([name, group]) => [name, summarizeRequests(group)]),
    ),
    fairness: summarizeFairness(records),
    firstAgainstPredicted: predictions.first,
    pauseAgainstPredicted: predictions.pause,
    engines: {
      events: engineCounts.events,
      preempted: engineCounts.preempted,
      refused: [...engineCounts.refused.values()].reduce((sum, count) => sum + count, 0),
      refusedFor: Object.fromEntries(engineCounts.refused),
      moves: portCounts.moves,
      orders: portCounts.orders,
    },
    gaps: {
      count: gaps.length,
      p50: Math.round(computeQuantile(gapMilliseconds, 0.5)),
      longest: Math.round(Math.max(0, ...gapMilliseconds)),
    },
    callsPerSecond: Object.fromEntries(
      calls.map(([kind, count]) => [kind, round(count / seconds, 1)]),
    ),
    peerBytesPerNodeSecond: Math.round(peerBytes / seconds / nodes),
    broken: result.broken,
    failedFor: Object.fromEntries(
      [...groupBy(failed, ({ reason }) => reason)].map(([reason, group]) => [reason, group.length]),
    ),
  };
}
