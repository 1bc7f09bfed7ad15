/**
 * Estimate of how many tokens a request reads, writes and keeps in memory.
 */
import type { RequestMetadata } from '../../types/relay/index.js';
import type { LayeredModel } from '../../types/site/index.js';

/** Options of {@link estimateSize}. */
export interface EstimateSizeOptions {
  readonly caller: RequestMetadata;
  readonly model: LayeredModel | undefined;
  /** Number of the last event that the caller has. */
  readonly lastEvent: number;
}

/** A request's size in tokens. */
export interface RequestSize {
  /** Tokens to read: the prompt, and what was answered so far. */
  readonly promptTokens: number;
  /** Tokens that are still to be written. */
  readonly answerTokens: number;
  /** Tokens to keep room for. */
  readonly roomTokens: number;
}

/** Factor on the caller's hint, which is right at the median and often too short. */
const HINT_FACTOR = 1.1;
/** Part of an answer that is in memory on average, while requests are at different stages. */
const ANSWER_MEMORY_SHARE = 0.6;

/**
 * Estimates a request's size.
 *
 * The caller's hint goes before the model's usual answer; neither goes beyond the caller's limit.
 *
 * @param options - what the caller said, the model, and what was answered so far
 * @returns the size in tokens
 * @example
 * estimateSize({ caller, model, lastEvent: 0 }).roomTokens;
 */
export function estimateSize(options: EstimateSizeOptions): RequestSize {
  const { caller, model, lastEvent } = options;
  const { expectedAnswerTokens, maximumAnswerTokens } = caller;
  const stride = model?.stride ?? 1;
  const answeredTokens = lastEvent * stride;
  const expected =
    expectedAnswerTokens === undefined
      ? (model?.usualAnswerTokens ?? maximumAnswerTokens)
      : expectedAnswerTokens * HINT_FACTOR;
  const maximum = maximumAnswerTokens > 0 ? maximumAnswerTokens : expected;
  const promptTokens = caller.promptTokens + answeredTokens;
  const answerTokens = Math.max(stride, Math.min(expected, maximum) - answeredTokens);
  return {
    promptTokens,
    answerTokens,
    roomTokens: promptTokens + answerTokens * ANSWER_MEMORY_SHARE,
  };
}
