/**
 * Hand-over of a request whose response is a complete body.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import { runBufferedAttempt, type AttemptOutcome } from '../runBufferedAttempt/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link handOverBuffered}. */
export interface HandOverBufferedOptions {
  readonly neighbour: NodeRecord;
  /** Whether the request has reached an endpoint before. */
  readonly isRepeat: boolean;
  /** Why this node does not send the request itself. */
  readonly reason: string;
}

/**
 * Hands a request over to another node, and waits for the complete response.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param options - the other node and the reason
 * @returns the outcome; a refusal of the other node means that the request was not executed, and a response that only
 * its connection ended may be incomplete
 * @example
 * await handOverBuffered(context, request, { neighbour, reason: 'links lost' });
 */
export async function handOverBuffered(
  context: RelayContext,
  request: RelayedRequest,
  { neighbour, isRepeat, reason }: HandOverBufferedOptions,
): Promise<AttemptOutcome> {
  const deadlineMilliseconds = request.deadlineAt - context.clock.now();
  const { configurationVersion } = request;
  const { attempt } = request.caller;
  context.metrics.count('handed_over', 'sent');
  request.log.add('request-handed-over', { peer: neighbour.name, reason });
  const outcome = await runBufferedAttempt(context, request, {
    timeoutMilliseconds: deadlineMilliseconds,
    open: (handlers) =>
      context.neighbours.send(
        request.forwarded,
        {
          address: neighbour.peerAddress,
          attempt,
          deadlineMilliseconds,
          isRepeat,
          configurationVersion,
        },
        handlers,
      ),
  });
  const isUnproven = outcome.kind === 'answered' && outcome.end === 'connection';
  return isUnproven ? { kind: 'unknown', reason: 'connection ended' } : outcome;
}
