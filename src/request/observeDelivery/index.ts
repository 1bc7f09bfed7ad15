/**
 * Metrics of delivered tokens.
 */
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { ActiveRequest } from '../createActiveRequest/index.js';

const SLOWDOWN_SAMPLE_TOKENS = 4;

/** Reports the slowdown of tokens to the concurrency limit of the pool, once every few tokens. */
function observeSlowdown(context: NodeContext, active: ActiveRequest, count: number): void {
  active.sampledTokens += count;
  if (active.sampledTokens < SLOWDOWN_SAMPLE_TOKENS || active.unloadedMilliseconds === 0) return;
  const gap = (context.now() - active.sampledAt) / active.sampledTokens;
  const { gate, minimumTokenMilliseconds } = active.pool;
  const acceptedMilliseconds = Math.max(active.unloadedMilliseconds, minimumTokenMilliseconds);
  gate.observe(Math.max(1, gap / acceptedMilliseconds));
  active.sampledTokens = 0;
  active.sampledAt = context.now();
}

/**
 * Records metrics of delivered tokens: recovery time, time to the first token, time between tokens.
 *
 * @param context - clock and histograms of the node
 * @param active - the request
 * @param count - number of tokens delivered together
 * @example
 * observeDelivery(context, active, lines.length);
 */
export function observeDelivery(context: NodeContext, active: ActiveRequest, count: number): void {
  const now = context.now();
  const { name, class: accountClass } = active.account;
  if (active.failedAt >= 0) {
    context.observe('recovery', name, accountClass, now - active.failedAt);
    active.failedAt = -1;
  }
  if (active.deliveredAt < 0) {
    context.observe('firstToken', name, accountClass, now - active.arrivedAt);
    active.sampledAt = now;
  } else {
    context.observe('betweenTokens', name, accountClass, (now - active.deliveredAt) / count);
    observeSlowdown(context, active, count);
  }
  active.deliveredAt = now;
}
