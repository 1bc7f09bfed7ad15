/**
 * Counters and latency histograms of the relay, by client account and route kind.
 */
import { build, type Histogram } from 'hdr-histogram-js';

/** Counters and histograms. */
export interface RelayMetrics {
  readonly count: (name: string, label?: string) => void;
  readonly record: (account: string, kind: string, milliseconds: number) => void;
  /** Prometheus text. */
  readonly format: () => string;
}

/** Series of one kind at most, so that memory stays bounded. */
const MOST_SERIES = 2_000;
const QUANTILES = [50, 95, 99] as const;
const HIGHEST_MILLISECONDS = 60_000;

/**
 * Creates empty metrics.
 *
 * @returns the metrics
 * @example
 * createRelayMetrics().count('requests', 'stream');
 */
export function createRelayMetrics(): RelayMetrics {
  const counters = new Map<string, number>();
  const histograms = new Map<string, Histogram>();
  return {
    count: (name, label = '') => {
      const series = `marjoramcleat_${name}{label="${label}"}`;
      if (counters.size >= MOST_SERIES && !counters.has(series)) return;
      counters.set(series, (counters.get(series) ?? 0) + 1);
    },
    record: (account, kind, milliseconds) => {
      const series = `account="${account}",kind="${kind}"`;
      let histogram = histograms.get(series);
      if (!histogram) {
        if (histograms.size >= MOST_SERIES) return;
        histogram = build({
          highestTrackableValue: HIGHEST_MILLISECONDS,
          numberOfSignificantValueDigits: 2,
        });
        histograms.set(series, histogram);
      }
      histogram.recordValue(Math.min(HIGHEST_MILLISECONDS, Math.max(0, Math.round(milliseconds))));
    },
    format: () => {
      const lines = [...counters].map(([series, value]) => `${series} ${value}`);
      for (const [series, histogram] of histograms) {
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
