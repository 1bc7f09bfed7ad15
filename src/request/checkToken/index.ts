/**
 * Check of the tokens that are delivered to a caller.
 */
import type { Stage, TokenLine } from '../../types/endpoint/index.js';

/** Result of the check of a token. */
export type TokenCheckResult = 'deliver' | 'duplicate' | 'gap' | 'wrongLayers' | 'endedAttempt';

/** Options of {@link checkToken}. */
export interface CheckTokenOptions {
  readonly line: TokenLine;
  /** The attempt that the token came from. */
  readonly attempt: string;
  /** The attempt whose tokens may be delivered; empty when there is none. */
  readonly liveAttempt: string;
  readonly nextIndex: number;
  /** Trace that the chain of the live attempt must report. */
  readonly expectedTrace: string;
}

/**
 * Formats the trace of a chain that runs each layer once and in order.
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
 * Checks whether stages cover every layer exactly once and in order.
 *
 * @param stages - the stages of a chain
 * @param layers - number of layers of the model
 * @returns true when the stages cover the layers without a gap or an overlap
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
 * Checks one token.
 *
 * Token n is delivered only after token n-1, only from the live attempt, and only with the trace of
 * the chain of that attempt, which covers every layer once.
 *
 * @param options - the token and the state of its request
 * @returns `deliver`, or the reason why the token is dropped
 * @example
 * checkToken({ line, attempt: 'a1', liveAttempt: 'a1', nextIndex: 0, expectedTrace });
 */
export function checkToken(options: CheckTokenOptions): TokenCheckResult {
  const { line, nextIndex } = options;
  if (options.attempt !== options.liveAttempt) return 'endedAttempt';
  if (line.index < nextIndex) return 'duplicate';
  if (line.index > nextIndex) return 'gap';
  if (line.trace !== options.expectedTrace) return 'wrongLayers';
  return 'deliver';
}
