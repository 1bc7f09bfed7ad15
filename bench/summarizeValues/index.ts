/**
 * Summarizes measured values by percentiles.
 */
import * as hdr from 'hdr-histogram-js';

/** Percentiles of a set of values, in the unit of the values. */
export interface ValueSummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly maximum: number;
}

const STEPS_PER_UNIT = 1_000;
const PLACES = 100;

/**
 * Summarizes values by percentiles.
 *
 * @param values - values of at least 0; the resolution is a thousandth
 * @returns the percentiles, rounded to a hundredth
 * @example
 * summarizeValues([1, 2, 3]).p50; // 2
 */
export function summarizeValues(values: readonly number[]): ValueSummary {
  const histogram = hdr.build({ bitBucketSize: 64, numberOfSignificantValueDigits: 3 });
  for (const value of values)
    histogram.recordValue(Math.max(0, Math.round(value * STEPS_PER_UNIT)));
  const round = (value: number): number => Math.round((value / STEPS_PER_UNIT) * PLACES) / PLACES;
  return {
    count: values.length,
    mean: round(histogram.mean),
    p50: round(histogram.getValueAtPercentile(50)),
    p95: round(histogram.getValueAtPercentile(95)),
    p99: round(histogram.getValueAtPercentile(99)),
    maximum: round(histogram.maxValue),
  };
}
