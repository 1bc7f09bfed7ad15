/**
 * Guard of the tokens that reach a caller.
 */
import type { Stage, TokenLine } from '../../types/endpoint/index.js';

/** What the guard makes of a token. */
export type TokenCheckResult = 'deliver' | 'duplicate' | 'gap' | 'wrongLayers' | 'endedAttempt';

/** Options of {@link guardToken}. */
export interface GuardTokenOptions {
  readonly line: TokenLine;
  /** The attempt that the token came from. */
  readonly attempt: string;
  /** The attempt that may deliver; empty when none may. */
  readonly liveAttempt: string;
  readonly nextIndex: number;
  /** The trace that the live attempt's chain has to give. */
  readonly expectedTrace: string;
}

/**
 * Formats the trace that a chain gives when each layer runs once and in order.
 *
 * @param stages - the stages of the chain
 * @returns the stages as `engine:from-to`, separated by commas
 * @example
 * formatTrace([{ engine: 'engine-1', address: '127.0.0.1:1', from: 0, to: 16 }]); // 'engine-1:0-16'
 */
export function formatTrace(stages: readonly Stage[]): string {
  return stages
    .map(({ engine, from, to }) => `${engine}:${from.toString()}-${to.toString()}`)
    .join(',');
}

/**
 * Tells whether stages cover every layer exactly once and in order.
 *
 * @param stages - the stages of a chain
 * @param layers - number of layers of the model
 * @returns true when the stages join without a gap or an overlap
 * @example
 * coversLayers([{ engine: 'a', address: '', from: 0, to: 48 }], 48); // true
 */
export function coversLayers(stages: readonly Stage[], layers: number): boolean {
  let next = 0;
  for (const { from, to } of stages) {
    if (from !== next || to <= from) return false;
    next = to;
  }
  return next === layers;
}

/**
 * Judges one token.
 *
 * Token n is delivered only after token n-1, only from the live attempt, and only with the trace of
 * that attempt's chain, which covers every layer once.
 *
 * @param options - the token and the state of its request
 * @returns `deliver`, or why the token is dropped
 * @example
 * guardToken({ line, attempt: 'a1', liveAttempt: 'a1', nextIndex: 0, expectedTrace });
 */
export function guardToken(options: GuardTokenOptions): TokenCheckResult {
  const { line, nextIndex } = options;
  if (options.attempt !== options.liveAttempt) return 'endedAttempt';
  if (line.index < nextIndex) return 'duplicate';
  if (line.index > nextIndex) return 'gap';
  if (line.trace !== options.expectedTrace) return 'wrongLayers';
  return 'deliver';
}
