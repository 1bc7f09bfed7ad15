/**
 * Histograms for each client account and class, and event counters.
 */
import * as hdr from 'hdr-histogram-js';
import type { Metric } from '../../types/node/index.js';
import type { HistogramSummary } from '../../types/histogram/index.js';

/** Value to record. */
export interface Observation {
  readonly metric: Metric;
  readonly account: string;
  readonly class: string;
  readonly milliseconds: number;
}

/** The histograms and counters of one process. */
export interface Histograms {
  readonly observe: (observation: Observation) => void;
  readonly count: (counter: string) => void;
  readonly summarize: () => HistogramSummary<Metric>[];
  readonly readCounters: () => ReadonlyMap<string, number>;
  /** Formats everything as Prometheus text. */
  readonly formatPrometheus: () => string;
}

interface HistogramEntry {
  readonly metric: Metric;
  readonly account: string;
  readonly class: string;
  readonly histogram: hdr.Histogram;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MAXIMUM_MICROSECONDS = 3_600_000_000;
const MAXIMUM_ACCOUNTS = 128;
const OVERFLOW_ACCOUNT = 'other';
const PROMETHEUS_QUANTILES = [50, 95, 99] as const;

function createHistogram(): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    highestTrackableValue: MAXIMUM_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });
}

function summarizeEntry({
  metric,
  account,
  class: accountClass,
  histogram,
}: HistogramEntry): HistogramSummary<Metric> {
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    metric,
    account,
    class: accountClass,
    count: histogram.totalCount,
    p50: read(50),
    p95: read(95),
    p99: read(99),
    maximum: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
  };
}

function formatSummary(summary: HistogramSummary<Metric>): string[] {
  const name = `marjoramcleat_${summary.metric.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}_milliseconds`;
  const labels = `account="${summary.account}",class="${summary.class}"`;
  const values = { 50: summary.p50, 95: summary.p95, 99: summary.p99 };
  return [
    ...PROMETHEUS_QUANTILES.map(
      (quantile) =>
        `${name}{${labels},quantile="${(quantile / 100).toString()}"} ${values[quantile].toString()}`,
    ),
    `${name}_count{${labels}} ${summary.count.toString()}`,
  ];
}

/**
 * Creates the histograms of one process.
 *
 * Values are stored in microseconds with two significant digits. Client accounts beyond the first 128
 * share the account name `other`, so that memory is bounded.
 *
 * @returns the histograms
 * @example
 * createHistograms().observe({ metric: 'firstToken', account: 'kiosk', class: 'kiosk', milliseconds: 80 });
 */
export function createHistograms(): Histograms {
  const entries = new Map<string, HistogramEntry>();
  const accounts = new Set<string>();
  const counters = new Map<string, number>();

  const limitAccount = (account: string): string => {
    if (accounts.has(account)) return account;
    if (accounts.size >= MAXIMUM_ACCOUNTS) return OVERFLOW_ACCOUNT;
    accounts.add(account);
    return account;
  };
  const findEntry = (observation: Observation): HistogramEntry => {
    const { metric, class: accountClass } = observation;
    const account = limitAccount(observation.account);
    const key = `${metric}/${account}/${accountClass}`;
    const existing = entries.get(key);
    if (existing) return existing;
    const entry = { metric, account, class: accountClass, histogram: createHistogram() };
    entries.set(key, entry);
    return entry;
  };

  return {
    observe: (observation) => {
      const microseconds = Math.round(observation.milliseconds * MICROSECONDS_PER_MILLISECOND);
      const clamped = Math.min(Math.max(microseconds, 0), MAXIMUM_MICROSECONDS);
      findEntry(observation).histogram.recordValue(clamped);
    },
    count: (counter) => {
      counters.set(counter, (counters.get(counter) ?? 0) + 1);
    },
    summarize: () => [...entries.values()].map(summarizeEntry),
    readCounters: () => counters,
    formatPrometheus: () => {
      const lines = [...entries.values()].map(summarizeEntry).flatMap(formatSummary);
      const counted = [...counters.entries()].map(
        ([name, value]) => `marjoramcleat_${name}_total ${value.toString()}`,
      );
      return `${[...lines, ...counted].join('\n')}\n`;
    },
  };
}
