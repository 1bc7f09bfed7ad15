/**
 * Idle time after which a chain counts as stalled.
 */
import { computeTimeout, type GapEstimate } from '../../connection/estimateGap/index.js';
import type { Stage } from '../../types/endpoint/index.js';
import type { Pool } from '../createPools/index.js';

/** Options of {@link computeStallTimeout}. */
export interface ComputeStallTimeoutOptions {
  readonly pool: Pick<Pool, 'gaps' | 'firstTokens' | 'selector'>;
  /** Estimate of the gaps between tokens of this answer, as multiples of the chain's time without load. */
  readonly gaps: GapEstimate;
  /** Time of one token on the chain without load, in milliseconds. */
  readonly tokenMilliseconds: number;
  /** Time of the first token on the chain without load or cached prefix, in milliseconds. */
  readonly firstTokenMilliseconds: number;
  /** Number of tokens received so far. */
  readonly received: number;
}

/** Number of gaps from which on the estimate of the answer replaces that of the pool. */
const MINIMUM_ANSWER_SAMPLES = 16;
const MAXIMUM_STALL_MILLISECONDS = 5_000;
const MINIMUM_STALL_MILLISECONDS = 25;
const HOP_MILLISECONDS = 0.5;

/** Bounds of a stall timeout, as multiples of a chain's time without load. */
const INITIAL_STALL_FACTOR = 40;
const MINIMUM_STALL_FACTOR = 1.5;
const MAXIMUM_STALL_FACTOR = 200;

/** Standard deviations of the logarithm of the gap after which a chain counts as stalled, by selector goal. */
const STALL_DEVIATIONS = { recovery: 4, throughput: 6 } as const;

/**
 * Computes the time of one token on a chain without load.
 *
 * @param pool - the pool that the chain was chosen from
 * @param stages - the stages of the chain
 * @returns the time of all layers and hops in milliseconds
 * @example
 * computeTokenTime(pool, stages);
 */
export function computeTokenTime(pool: Pool, stages: readonly Stage[]): number {
  let milliseconds = HOP_MILLISECONDS * (stages.length + 1);
  for (const { engine, from, to } of stages) {
    const stageEngine = pool.chain.engines.find(({ name }) => name === engine);
    milliseconds += ((to - from) * 1_000) / (stageEngine?.layersPerSecond ?? 1);
  }
  return milliseconds;
}

/**
 * Computes the idle time after which a chain counts as stalled.
 *
 * Uses the gaps of this answer once there are enough of them, and those of the pool before. The first
 * token has a separate estimate.
 *
 * @param options - the estimates, and the chain's time without load
 * @returns the timeout in milliseconds
 * @example
 * computeStallTimeout({ pool, gaps, tokenMilliseconds: 15, firstTokenMilliseconds: 30, received: 4 });
 */
export function computeStallTimeout(options: ComputeStallTimeoutOptions): number {
  const { pool, gaps, received } = options;
  const isFirst = received === 0;
  const tokenGaps = gaps.samples >= MINIMUM_ANSWER_SAMPLES ? gaps : pool.gaps;
  const factor = computeTimeout({
    estimate: isFirst ? pool.firstTokens : tokenGaps,
    deviations: STALL_DEVIATIONS[pool.selector.weigh],
    initial: INITIAL_STALL_FACTOR,
    minimum: MINIMUM_STALL_FACTOR,
    maximum: MAXIMUM_STALL_FACTOR,
  });
  const unloadedMilliseconds = isFirst ? options.firstTokenMilliseconds : options.tokenMilliseconds;
  const timeout = Math.max(factor * unloadedMilliseconds, MINIMUM_STALL_MILLISECONDS);
  return Math.min(timeout, MAXIMUM_STALL_MILLISECONDS);
}
