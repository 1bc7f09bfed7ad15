/**
 * One send of a request that an endpoint answers with a whole body.
 */
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import type { ResponseHead, EndpointCall } from '../../../types/relay/index.js';
import type { BufferedResponse } from '../sendFailure/index.js';
import { isResponseTo, recordResponse } from '../noteAnswer/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Outcome of one send. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly response: BufferedResponse }
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'notRun'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string; readonly isTimeout?: boolean }
  | { readonly kind: 'gone' };

/** Options of {@link runBufferedAttempt}. */
export interface RunBufferedAttemptOptions {
  readonly endpoint: Endpoint;
  readonly timeoutMilliseconds: number;
}

/** Longest whole answer, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 4_194_304;

function classifyResponse(head: ResponseHead, attempt: string, body: Buffer): AttemptOutcome {
  const { status, metadata, headers } = head;
  if (!isResponseTo(metadata, attempt)) {
    return { kind: 'unknown', reason: 'answer to another request' };
  }
  if (metadata.isNotExecuted) return { kind: 'notRun', reason: `status ${status}` };
  if (!metadata.isFromEndpoint || (status < 300 && metadata.isEncoded)) {
    return { kind: 'unknown', reason: 'not an answer of the endpoint' };
  }
  return { kind: 'answered', response: { status, headers, body } };
}

/**
 * Sends a request to an endpoint once, and waits for the whole answer.
 *
 * @param context - services of the process
 * @param request - the request
 * @param options - the endpoint, and how long to wait in milliseconds
 * @returns what came of it
 * @example
 * await runBufferedAttempt(context, request, { endpoint, timeoutMilliseconds: 800 });
 */
export function runBufferedAttempt(
  context: RelayContext,
  request: RelayedRequest,
  options: RunBufferedAttemptOptions,
): Promise<AttemptOutcome> {
  const { clock, endpointPort } = context;
  const { endpoint, timeoutMilliseconds } = options;
  const { record } = endpoint;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const reservation = context.answerMemory.createReservation();
    let size = 0;
    let head: ResponseHead | undefined;
    endpoint.ownRequests += 1;
    let isDone = false;
    const finish = (outcome: AttemptOutcome): void => {
      if (isDone) return;
      isDone = true;
      cancelTimer();
      call.abort();
      reservation.release();
      endpoint.ownRequests = Math.max(0, endpoint.ownRequests - 1);
      resolve(outcome);
    };
    const forwarding = {
      address: record.address,
      endpoint: record.id,
      account: request.account,
      deadlineMilliseconds: request.deadlineAt - clock.now(),
    };
    const call: EndpointCall = endpointPort.send(request.forwarded, forwarding, {
      onHead: (received) => {
        head = received;
        recordResponse(context, endpoint, received.metadata);
        const { status, metadata } = received;
        if (!metadata.isNotExecuted || !isResponseTo(metadata, request.caller.attempt)) return;
        // The head says all; the body may take its time.
        finish({ kind: 'notRun', reason: `status ${status}` });
      },
      onData: (chunk) => {
        size += chunk.length;
        if (size > MAXIMUM_RESPONSE_BYTES) finish({ kind: 'unknown', reason: 'answer too long' });
        else if (!reservation.add(chunk.length)) finish({ kind: 'unknown', reason: 'no memory' });
        else chunks.push(chunk);
      },
      onEnd: () => {
        if (head) finish(classifyResponse(head, request.caller.attempt, Buffer.concat(chunks)));
        else finish({ kind: 'unknown', reason: 'no answer' });
      },
      onFailure: (state, reason) => {
        if (state === 'notSent') finish({ kind: 'notSent', reason });
        else finish({ kind: head?.metadata.isNotExecuted ? 'notRun' : 'unknown', reason });
      },
    });
    const cancelTimer = clock.schedule(timeoutMilliseconds, () => {
      const reason = chunks.length > 0 ? 'answer too slow' : 'no answer in time';
      finish({ kind: 'unknown', reason, isTimeout: true });
    });
    request.response.onDisconnect(() => {
      finish({ kind: 'gone' });
    });
  });
}
