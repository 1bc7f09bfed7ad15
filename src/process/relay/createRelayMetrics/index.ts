/**
 * Counters and latency histograms of the relay, by client account and route kind.
 */
import type { Histogram } from 'hdr-histogram-js';
// The index of the package also loads formatters, whose initialization takes a large part of the
// node's start time.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type { HistogramSummary } from '../../../types/histogram/index.js';

/** Counters and latency histograms. */
export interface RelayMetrics {
  readonly count: (name: string, label?: string) => void;
  readonly record: (account: string, kind: string, milliseconds: number) => void;
  /** Returns the percentiles of each histogram, in milliseconds. */
  readonly listHistograms: () => HistogramSummary[];
  /** Returns the metrics in the Prometheus text format. */
  readonly format: () => string;
}

/** Maximum number of counters, and of histograms, so that memory stays bounded. */
const MAXIMUM_SERIES = 2_000;

interface LatencySeries {
  readonly account: string;
  readonly kind: string;
  readonly histogram: Histogram;
}

const QUANTILES = [50, 95, 99] as const;
const MAXIMUM_LATENCY_MILLISECONDS = 60_000;

/**
 * Creates metrics without any series.
 *
 * @returns the metrics
 * @example
 * createRelayMetrics().count('requests', 'stream');
 */
export function createRelayMetrics(): RelayMetrics {
  const counters = new Map<string, number>();
  const histograms = new Map<string, LatencySeries>();
  return {
    count: (name, label = '') => {
      const series = `marjoramcleat_${name}{label="${label}"}`;
      if (counters.size >= MAXIMUM_SERIES && !counters.has(series)) return;
      counters.set(series, (counters.get(series) ?? 0) + 1);
    },
    record: (account, kind, milliseconds) => {
      const series = `account="${account}",kind="${kind}"`;
      let latencySeries = histograms.get(series);
      if (!latencySeries) {
        if (histograms.size >= MAXIMUM_SERIES) return;
        const histogram = build({
          highestTrackableValue: MAXIMUM_LATENCY_MILLISECONDS,
          numberOfSignificantValueDigits: 2,
        });
        latencySeries = { account, kind, histogram };
        histograms.set(series, latencySeries);
      }
      latencySeries.histogram.recordValue(
        Math.min(MAXIMUM_LATENCY_MILLISECONDS, Math.max(0, Math.round(milliseconds))),
      );
    },
    listHistograms: () =>
      [...histograms.values()].map(({ account, kind, histogram }) => ({
        metric: 'latency',
        account,
        class: kind,
        count: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
        maximum: histogram.maxValue,
      })),
    format: () => {
      const lines = [...counters].map(([series, value]) => `${series} ${value}`);
      for (const [series, { histogram }] of histograms) {
        for (const quantile of QUANTILES) {
          const value = histogram.getValueAtPercentile(quantile);
          lines.push(`marjoramcleat_latency_ms{${series},quantile="${quantile}"} ${value}`);
        }
        lines.push(`marjoramcleat_latency_ms_count{${series}} ${histogram.totalCount}`);
      }
      return `${lines.join('\n')}\n`;
    },
  };
}
