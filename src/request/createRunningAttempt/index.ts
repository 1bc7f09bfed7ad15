/**
 * State of a running attempt.
 */
import type { GapEstimate } from '../../connection/estimateGap/index.js';
import type { Stage, TokenLine } from '../../types/endpoint/index.js';
import { computeStallTimeout, computeTokenTime } from '../computeStallTimeout/index.js';
import type { Pool } from '../createPools/index.js';
import { formatTrace } from '../checkToken/index.js';
import { PROMPT_TOKENS_PER_STEP } from '../setChainCosts/index.js';

/** Reason why an attempt ended before its last token. */
export type AttemptFailureReason = 'refused' | 'died' | 'stalled' | 'truncated' | 'guarded';

/** A failed attempt as reported to the request that started it. */
export interface AttemptFailure {
  readonly reason: AttemptFailureReason;
  /** Time at which the failure began, as far as it is known, in milliseconds. */
  readonly failedAt: number;
  readonly suspects: readonly string[];
  /** True when an endpoint may have executed the request. */
  readonly sent: boolean;
}

/** Options of {@link Attempts.start}. */
export interface StartAttemptOptions {
  readonly pool: Pool;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly startIndex: number;
  readonly maximumTokens: number;
  readonly excluded: ReadonlySet<string>;
  readonly onTokens: (lines: readonly TokenLine[]) => void;
  readonly onFailure: (failure: AttemptFailure) => void;
}

/** An attempt and its progress. */
export interface RunningAttempt {
  readonly id: string;
  readonly options: StartAttemptOptions;
  readonly stages: readonly Stage[];
  readonly trace: string;
  readonly startedAt: number;
  nextIndex: number;
  progressAt: number;
  received: number;
  /** Estimate of the time between tokens, as a multiple of the chain's time without load. */
  gaps: GapEstimate;
  /** Time of one token on the chain without load, in milliseconds. */
  readonly tokenMilliseconds: number;
  /** Time of the first token on the chain without load or cached prefix, in milliseconds. */
  readonly firstTokenMilliseconds: number;
  timer: string;
}

/** Options of {@link createRunningAttempt}. */
export interface CreateRunningAttemptOptions {
  readonly id: string;
  readonly start: StartAttemptOptions;
  readonly stages: readonly Stage[];
  /** Start time of the attempt on the node's clock, in milliseconds. */
  readonly now: number;
}

/**
 * Creates the state of an attempt that starts now.
 *
 * @param options - the request to run, and the stages that run it
 * @returns the attempt
 * @example
 * createRunningAttempt({ id, start, stages, now });
 */
export function createRunningAttempt(options: CreateRunningAttemptOptions): RunningAttempt {
  const { id, start, stages, now } = options;
  const { pool } = start;
  const tokenMilliseconds = computeTokenTime(pool, stages);
  const prefillSteps = start.promptTokens / PROMPT_TOKENS_PER_STEP;
  return {
    id,
    options: start,
    stages,
    trace: formatTrace(stages),
    startedAt: now,
    nextIndex: start.startIndex,
    progressAt: now,
    received: 0,
    gaps: pool.gaps.samples > 0 ? { ...pool.gaps, samples: 1 } : pool.gaps,
    tokenMilliseconds,
    firstTokenMilliseconds: tokenMilliseconds * (1 + prefillSteps),
    timer: '',
  };
}

/**
 * Returns how long an attempt may be idle.
 *
 * @param attempt - the attempt
 * @returns the time since its last progress after which it counts as stalled, in milliseconds
 * @example
 * getStallTimeout(attempt);
 */
export function getStallTimeout(attempt: RunningAttempt): number {
  const { gaps, tokenMilliseconds, firstTokenMilliseconds, received } = attempt;
  const { pool } = attempt.options;
  return computeStallTimeout({ pool, gaps, tokenMilliseconds, firstTokenMilliseconds, received });
}
