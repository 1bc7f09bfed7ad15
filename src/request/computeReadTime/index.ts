/**
 * Time to read a prompt.
 */
import type { AcceleratorKind, LayeredModel } from '../../types/site/index.js';

/**
 * Computes how long an endpoint that held all layers of the model would read a prompt.
 *
 * @param model - the model
 * @param kind - the accelerator
 * @param tokens - the prompt's length
 * @returns milliseconds; a part of the layers takes its share
 * @example
 * computeReadTime(model, kind, 760);
 */
export function computeReadTime(
  model: LayeredModel,
  kind: Pick<AcceleratorKind, 'readFactor'>,
  tokens: number,
): number {
  return (tokens / model.readTokensPerSecond) * 1_000 * kind.readFactor;
}
