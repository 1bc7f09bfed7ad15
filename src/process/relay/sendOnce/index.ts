/**
 * Single send of a request whose response is a complete body, and the check of an endpoint that ended.
 */
import type { RunGate } from '../createRunGate/index.js';
import {
  runBufferedAttempt,
  type AttemptOutcome,
  type RunBufferedAttemptOptions,
} from '../runBufferedAttempt/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/**
 * Sends a request to an endpoint once.
 *
 * Where the connection ended, finds out whether the endpoint crashed: then a response that only its
 * connection ended may be incomplete.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param gate - gate of the request, which learns of the crash
 * @param options - the endpoint and the time limit in milliseconds
 * @returns the outcome
 * @example
 * await sendOnce(context, request, gate, { endpoint, timeoutMilliseconds: 800 });
 */
export async function sendOnce(
  context: RelayContext,
  request: RelayedRequest,
  gate: RunGate,
  options: RunBufferedAttemptOptions,
): Promise<AttemptOutcome> {
  const { id: endpoint, startedAt } = options.endpoint.record;
  const sentAt = context.clock.now();
  const outcome = await runBufferedAttempt(context, request, options);
  const isLost = outcome.kind === 'unknown' && outcome.isConnectionLost === true;
  const isEndedByConnection = outcome.kind === 'answered' && outcome.end === 'connection';
  if (!isLost && !isEndedByConnection) return outcome;
  const reason = outcome.kind === 'unknown' ? outcome.reason : 'connection ended';
  const { report, hasCrashed } = await context.crashes.recordBrokenRun({
    endpoint,
    startedAt,
    attempt: request.caller.attempt,
    parts: gate.listParts(),
    sentAt,
    events: 0,
    reason,
    check: 'connection',
  });
  if (report) gate.recordCrash(report);
  return hasCrashed && isEndedByConnection ? { kind: 'unknown', reason } : outcome;
}
