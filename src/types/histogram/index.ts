/**
 * Types of latency histograms.
 */

/** Percentiles of one histogram, in milliseconds. */
export interface HistogramSummary<Metric extends string = string> {
  readonly metric: Metric;
  readonly account: string;
  /** Class of the client account, or kind of its requests. */
  readonly class: string;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly maximum: number;
}
