/**
 * Duration of one pass over the layers.
 */
import type { AcceleratorKind, LayeredModel } from '../../types/site/index.js';

/**
 * Computes how long one pass of an endpoint over all layers of a model would take.
 *
 * @param model - the model
 * @param kind - the accelerator
 * @param requests - number of requests in the batch
 * @returns the time in milliseconds; a range of layers takes its share of it
 * @example
 * computePassTime(model, kind, 40);
 */
export function computePassTime(
  model: LayeredModel,
  kind: AcceleratorKind,
  requests: number,
): number {
  const context = (model.usualPromptTokens + model.usualAnswerTokens / 2) / 1_000;
  const step =
    model.stepMilliseconds +
    requests *
      (model.stepMillisecondsPerSequence + context * model.stepMillisecondsPerThousandTokens);
  return model.stride * step * kind.pace;
}
