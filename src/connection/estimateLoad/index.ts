/**
 * Estimate of the load of an engine from the local load and delayed reports.
 */

/** Options of {@link estimateLoad}. Loads are in active sequences. */
export interface EstimateLoadOptions {
  /** Sequences of this node on the engine now. */
  readonly local: number;
  /** Sequences of this node on the engine at the time of the report. */
  readonly localAtReport: number;
  /** All sequences on the engine according to the report. */
  readonly reported: number;
  /** Age of the report in milliseconds. */
  readonly ageMilliseconds: number;
  /** Number of nodes that send sequences to engines. */
  readonly nodes: number;
}

const REPORT_HALF_LIFE_MILLISECONDS = 2_000;

/**
 * Estimates the sequences active on an engine.
 *
 * The local load is known exactly. The remote load is the part of the report above the local load at
 * the time of the report.
 * As the report ages, its weight halves every two seconds in favour of the assumption that every
 * other node sends the same load as this one.
 *
 * @param options - the local load, the report and its age in milliseconds
 * @returns the estimated number of active sequences
 * @example
 * estimateLoad({ local: 2, localAtReport: 1, reported: 5, ageMilliseconds: 0, nodes: 6 }); // 6
 */
export function estimateLoad(options: EstimateLoadOptions): number {
  const { local, localAtReport, reported, ageMilliseconds, nodes } = options;
  const remote = Math.max(0, reported - localAtReport);
  const assumed = local * Math.max(0, nodes - 1);
  const weight = 0.5 ** (Math.max(0, ageMilliseconds) / REPORT_HALF_LIFE_MILLISECONDS);
  return local + weight * remote + (1 - weight) * assumed;
}
