/**
 * Estimate of an engine's load from own work and late reports.
 */

/** Options of {@link estimateLoad}. Loads are in active sequences. */
export interface EstimateLoadOptions {
  /** This node's own sequences on the engine now. */
  readonly local: number;
  /** This node's own sequences on the engine when the report was made. */
  readonly localAtReport: number;
  /** All sequences on the engine by the report. */
  readonly reported: number;
  /** Age of the report in milliseconds. */
  readonly ageMilliseconds: number;
  /** Number of nodes that choose engines. */
  readonly nodes: number;
}

const REPORT_HALF_LIFE_MILLISECONDS = 2_000;

/**
 * Estimates the sequences active on an engine.
 *
 * Own work is known exactly. The work of others is what the report shows beyond own work; as the
 * report ages, its weight halves every two seconds in favour of the assumption that every other
 * node sends what this one sends.
 *
 * @param options - own work, the report and its age
 * @returns the estimated number of active sequences
 * @example
 * estimateLoad({ own: 2, ownAtReport: 1, reported: 5, ageMilliseconds: 0, nodes: 6 }); // 6
 */
export function estimateLoad(options: EstimateLoadOptions): number {
  const { local, localAtReport, reported, ageMilliseconds, nodes } = options;
  const remote = Math.max(0, reported - localAtReport);
  const assumed = local * Math.max(0, nodes - 1);
  const weight = 0.5 ** (Math.max(0, ageMilliseconds) / REPORT_HALF_LIFE_MILLISECONDS);
  return local + weight * remote + (1 - weight) * assumed;
}
