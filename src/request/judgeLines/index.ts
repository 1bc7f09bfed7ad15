/**
 * Judgement of the lines that an engine sent.
 */
import type { TokenLine } from '../../types/endpoint/index.js';
import type { guardToken, TokenCheckResult } from '../guardToken/index.js';

/** Options of {@link checkLines}. */
export interface CheckLinesOptions {
  readonly lines: readonly TokenLine[];
  readonly checkToken: typeof guardToken;
  readonly attempt: string;
  /** Index of the next token of the answer. */
  readonly nextIndex: number;
  readonly expectedTrace: string;
}

/** Lines to pass on, and what was wrong with others. */
export interface CheckedLines {
  readonly accepted: readonly TokenLine[];
  /** A line must not be passed on, nor any after it. */
  readonly isInvalid: boolean;
  /** Counters of lines that were dropped. */
  readonly dropped: readonly string[];
}

/** Events counted when a token is dropped, by verdict. */
const DROP_COUNTERS: Record<Exclude<TokenCheckResult, 'deliver'>, string> = {
  duplicate: 'tokens_dropped_duplicate',
  gap: 'tokens_dropped_gap',
  wrongLayers: 'tokens_dropped_wrong_layers',
  endedAttempt: 'tokens_dropped_ended_attempt',
};

/** Counter of lines that came for an attempt which had ended. */
export const ENDED_ATTEMPT_COUNTER = DROP_COUNTERS.endedAttempt;

/**
 * Judges lines in order, up to the first that must not be passed on.
 *
 * @param options - the lines, and what is expected
 * @returns lines to pass on, each once and in order
 * @example
 * checkLines({ lines, judge, attempt, nextIndex, expectedTrace }).accepted;
 */
export function checkLines(options: CheckLinesOptions): CheckedLines {
  const { lines, checkToken, attempt, expectedTrace } = options;
  const accepted: TokenLine[] = [];
  const dropped: string[] = [];
  let nextIndex = options.nextIndex;
  for (const line of lines) {
    const result = checkToken({ line, attempt, liveAttempt: attempt, nextIndex, expectedTrace });
    if (result === 'deliver') {
      accepted.push(line);
      nextIndex = line.index + 1;
      continue;
    }
    dropped.push(DROP_COUNTERS[result]);
    if (result !== 'duplicate') return { accepted, isInvalid: true, dropped };
  }
  return { accepted, isInvalid: false, dropped };
}
