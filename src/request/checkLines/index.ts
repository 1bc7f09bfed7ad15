/**
 * Check of the token lines that an engine sent.
 */
import type { TokenLine } from '../../types/endpoint/index.js';
import type { checkToken, TokenCheckResult } from '../checkToken/index.js';

/** Options of {@link checkLines}. */
export interface CheckLinesOptions {
  readonly lines: readonly TokenLine[];
  readonly checkToken: typeof checkToken;
  readonly attempt: string;
  /** Index of the next token of the answer. */
  readonly nextIndex: number;
  readonly expectedTrace: string;
}

/** Lines to deliver, and the counters of dropped lines. */
export interface CheckedLines {
  readonly accepted: readonly TokenLine[];
  /** True when a line was invalid; neither it nor any line after it may be delivered. */
  readonly isInvalid: boolean;
  /** Counter of each dropped line. */
  readonly dropped: readonly string[];
}

/** Counters of dropped tokens, by check result. */
const DROP_COUNTERS: Record<Exclude<TokenCheckResult, 'deliver'>, string> = {
  duplicate: 'tokens_dropped_duplicate',
  gap: 'tokens_dropped_gap',
  wrongLayers: 'tokens_dropped_wrong_layers',
  endedAttempt: 'tokens_dropped_ended_attempt',
};

/** Counter of lines that arrived for an attempt that had ended. */
export const ENDED_ATTEMPT_COUNTER = DROP_COUNTERS.endedAttempt;

/**
 * Checks lines in order, up to the first one that must not be delivered.
 *
 * @param options - the lines, and the expected attempt, index and trace
 * @returns the lines to deliver, each once and in order
 * @example
 * checkLines({ lines, checkToken, attempt, nextIndex, expectedTrace }).accepted;
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
