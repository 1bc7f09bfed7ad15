/**
 * Estimate of the prompt, answer and memory size of a request in tokens.
 */
import type { RequestMetadata } from '../../types/relay/index.js';
import type { LayeredModel } from '../../types/site/index.js';

/** Options of {@link estimateTokens}. */
export interface EstimateTokensOptions {
  readonly caller: RequestMetadata;
  readonly model: LayeredModel | undefined;
  /** Number of the last event that the caller received. */
  readonly lastEventId: number;
}

/** Estimated size of a request in tokens. */
export interface TokenEstimate {
  /** Tokens to prefill: the prompt and the answer so far. */
  readonly promptTokens: number;
  /** Tokens that are still to be generated. */
  readonly answerTokens: number;
  /** Tokens to reserve memory for. */
  readonly roomTokens: number;
}

/** Factor on the caller's hint, which is correct at the median and often too low. */
const HINT_FACTOR = 1.1;
/** Average share of an answer that is in memory, since requests are at different stages. */
const ANSWER_MEMORY_SHARE = 0.6;

/**
 * Estimates the tokens of a request that are still to be processed, and those to reserve memory for.
 *
 * The caller's hint takes precedence over the typical answer of the model. The caller's limit caps both.
 *
 * @param options - the metadata of the request, the model, and the number of the last received event
 * @returns the size in tokens
 * @example
 * estimateTokens(options).roomTokens;
 */
export function estimateTokens(options: EstimateTokensOptions): TokenEstimate {
  const { caller, model, lastEventId } = options;
  const { expectedAnswerTokens, maximumAnswerTokens } = caller;
  const stride = model?.stride ?? 1;
  const answeredTokens = lastEventId * stride;
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
