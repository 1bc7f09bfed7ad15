/**
 * Single send of a request whose response is a complete body, and the check of an endpoint that ended.
 */
import type { RunGate } from '../createRunGate/index.js';
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import type { EndpointCall, EndpointCallHandlers } from '../../../types/relay/index.js';
import { proveBufferedEnd } from '../proveBufferedEnd/index.js';
import { recordResponse } from '../recordResponse/index.js';
import { runBufferedAttempt, type AttemptOutcome } from '../runBufferedAttempt/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Options of {@link sendOnce}. */
export interface SendOnceOptions {
  readonly endpoint: Endpoint;
  readonly timeoutMilliseconds: number;
}

/** Minimum share of the remaining time in which a response without framing is proved to be complete. */
const PROOF_TIME_SHARE = 0.5;

/** Opens the call to an endpoint; what its response says of the endpoint is recorded. */
function openCall(
  context: RelayContext,
  request: RelayedRequest,
  endpoint: Endpoint,
  handlers: EndpointCallHandlers,
): EndpointCall {
  const { clock, endpointPort, links } = context;
  const { id, address } = endpoint.record;
  const startedAt = clock.now();
  const forwarding = {
    address,
    endpoint: id,
    account: request.account,
    deadlineMilliseconds: request.deadlineAt - startedAt,
    healthPath: request.service.healthPath,
  };
  return endpointPort.send(request.forwarded, forwarding, {
    ...handlers,
    onHead: (head) => {
      recordResponse(context, endpoint, head.metadata);
      links.record(id, true, startedAt);
      handlers.onHead(head);
    },
    onFailure: (state, reason) => {
      if (state === 'notSent') links.record(id, false, startedAt);
      handlers.onFailure(state, reason);
    },
  });
}

async function runAttempt(
  context: RelayContext,
  request: RelayedRequest,
  { endpoint, timeoutMilliseconds }: SendOnceOptions,
): Promise<AttemptOutcome> {
  endpoint.localRequests += 1;
  const outcome = await runBufferedAttempt(context, request, {
    timeoutMilliseconds,
    open: (handlers) => openCall(context, request, endpoint, handlers),
  });
  endpoint.localRequests = Math.max(0, endpoint.localRequests - 1);
  return outcome;
}

/**
 * Sends a request to an endpoint once.
 *
 * A response that only its connection ended counts as complete when the endpoint is shown to have outlived the end.
 * Where it is not, and where the connection was lost, finds out whether the endpoint crashed.
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
  options: SendOnceOptions,
): Promise<AttemptOutcome> {
  const sentTo = options.endpoint.record;
  const { id: endpoint, startedAt } = sentTo;
  const sentAt = context.clock.now();
  const outcome = await runAttempt(context, request, options);
  const isLost = outcome.kind === 'unknown' && outcome.isConnectionLost === true;
  const isEndedByConnection = outcome.kind === 'answered' && outcome.end === 'connection';
  if (!isLost && !isEndedByConnection) return outcome;
  const now = context.clock.now();
  // The response is at hand, so that the proof gets as much time as another send would.
  const timeoutMilliseconds = Math.max(
    sentAt + options.timeoutMilliseconds - now,
    (request.deadlineAt - now) * PROOF_TIME_SHARE,
  );
  const finding = isEndedByConnection
    ? await proveBufferedEnd(context, request, {
        livenessCheck: outcome.livenessCheck,
        sentTo,
        timeoutMilliseconds,
      })
    : 'unknown';
  if (finding === 'alive') return outcome;
  const reason = outcome.kind === 'unknown' ? outcome.reason : 'connection ended';
  const { report } = await context.crashes.recordBrokenRun({
    endpoint,
    startedAt,
    attempt: request.caller.attempt,
    parts: gate.listParts(),
    sentAt,
    events: 0,
    reason,
    check: 'connection',
    isRunning: finding === 'ended' ? false : undefined,
  });
  if (report) gate.recordCrash(report);
  return isEndedByConnection ? { kind: 'unknown', reason } : outcome;
}
