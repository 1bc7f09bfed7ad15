/**
 * Prefill time of a prompt.
 */
import type { AcceleratorKind, LayeredModel } from '../../types/site/index.js';

/**
 * Computes how long an endpoint that hosts all layers of the model would take to process a prompt.
 *
 * @param model - the model
 * @param kind - the accelerator
 * @param tokens - length of the prompt in tokens
 * @returns the time in milliseconds; a range of layers takes its share of it
 * @example
 * computePrefillTime(model, kind, 760);
 */
export function computePrefillTime(
  model: LayeredModel,
  kind: Pick<AcceleratorKind, 'readFactor'>,
  tokens: number,
): number {
  return (tokens / model.readTokensPerSecond) * 1_000 * kind.readFactor;
}
