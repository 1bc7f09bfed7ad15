/**
 * Requests that one endpoint answers with a whole body.
 */
import type { IncomingMessage } from 'node:http';
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { chooseEndpoint } from '../../../request/chooseEndpoint/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import { answerFailure, sendWholeAnswer } from '../answerCaller/index.js';
import { openEndpointCall, type EndpointCall } from '../openEndpointCall/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** An endpoint's whole answer. */
interface WholeAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

type AttemptOutcome =
  | WholeAnswer
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'notRun'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string; readonly isTimeout?: boolean }
  | { readonly kind: 'gone' };

/** When callers may come back if no endpoint takes their request, in seconds. */
const RETRY_AFTER_SECONDS = 0.3;
/** Share of the time left that one attempt gets while another may follow. */
const ATTEMPT_TIME_SHARE = 0.5;
/** Connections that may fail for one request before it is refused. */
const MOST_FAILED_CONNECTIONS = 3;
/** How long an endpoint that takes no connection is left alone, in milliseconds. */
const REFUSED_CONNECTION_MILLISECONDS = 1_000;
const FIRST_FAILURE_STATUS = 500;

interface AttemptOptions {
  readonly endpoint: Endpoint;
  readonly timeoutMilliseconds: number;
}

function runAttempt(
  context: RelayContext,
  request: RelayedRequest,
  { endpoint, timeoutMilliseconds }: AttemptOptions,
): Promise<AttemptOutcome> {
  const { wire, now } = context;
  const { record } = endpoint;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let incoming: IncomingMessage | undefined;
    let wasSent = false;
    endpoint.ownRequests += 1;
    const finish = (outcome: AttemptOutcome): void => {
      clearTimeout(timer);
      call.abort();
      endpoint.ownRequests = Math.max(0, endpoint.ownRequests - 1);
      resolve(outcome);
    };
    const readWhole = (answer: IncomingMessage): AttemptOutcome => {
      const status = answer.statusCode ?? 0;
      const facts = wire.readAnswer(status, answer.headers);
      if (facts.running !== undefined) {
        endpoint.running = facts.running;
        endpoint.waiting = facts.waiting ?? 0;
        endpoint.loadReadAt = now();
      }
      if (facts.attempt !== undefined && facts.attempt !== request.caller.attempt) {
        return { kind: 'unknown', reason: 'answer to another request' };
      }
      if (facts.isNotRun) return { kind: 'notRun', reason: `status ${status}` };
      if (!facts.isSealed || (status < 300 && facts.isEncoded)) {
        return { kind: 'unknown', reason: 'not an answer of the endpoint' };
      }
      return {
        kind: 'answered',
        status,
        rawHeaders: answer.rawHeaders,
        body: Buffer.concat(chunks),
      };
    };
    const call: EndpointCall = openEndpointCall({
      address: record.address,
      method: request.method,
      url: request.url,
      body: request.body,
      headers: wire.buildRequestHeaders(request.rawHeaders, {
        address: record.address,
        endpoint: record.id,
        account: request.account,
        deadlineMilliseconds: request.finalAt - now(),
        bodyBytes: request.body?.length,
      }),
      onAnswer: (answer) => {
        incoming = answer;
      },
      onData: (chunk) => {
        wasSent = true;
        chunks.push(chunk);
      },
      onEnd: () => {
        finish(incoming ? readWhole(incoming) : { kind: 'unknown', reason: 'no answer' });
      },
      onFailure: (state, reason) => {
        const facts = incoming && wire.readAnswer(incoming.statusCode ?? 0, incoming.headers);
        if (state === 'notSent') finish({ kind: 'notSent', reason });
        else if (facts?.isNotRun) finish({ kind: 'notRun', reason });
        else finish({ kind: 'unknown', reason });
      },
    });
    const timer = setTimeout(() => {
      const reason = wasSent ? 'answer too slow' : 'no answer in time';
      finish({ kind: 'unknown', reason, isTimeout: true });
    }, timeoutMilliseconds);
    request.onGone(() => {
      finish({ kind: 'gone' });
    });
  });
}

function sendWhole(context: RelayContext, request: RelayedRequest, answer: WholeAnswer): void {
  const { status, body } = answer;
  const headers = context.wire.buildAnswerHeaders(answer.rawHeaders);
  sendWholeAnswer(request.response, { status, headers, body });
}

/**
 * Relays a request to one endpoint, and to another where that is allowed.
 *
 * A request that may run only once is sent again only when it certainly did not run.
 *
 * @param context - services of the process
 * @param request - the request
 * @returns resolves when the caller has its answer or has gone
 * @example
 * await relayWhole(context, request);
 */
export async function relayWhole(context: RelayContext, request: RelayedRequest): Promise<void> {
  const { endpoints, now, random, availabilityZone, budget, logger } = context;
  const { route, service, response, finalAt } = request;
  const met = new Set<string>();
  const mayRepeat = route.kind === 'safe';
  let sends = 0;
  let failedConnections = 0;
  let mayHaveRun = false;
  let timedOut = false;
  let fallback: WholeAnswer | undefined;
  let reason = 'no endpoint';
  while (sends < route.mostAttempts && failedConnections < MOST_FAILED_CONNECTIONS) {
    const left = finalAt - now();
    if (left <= 0) break;
    const candidates = endpoints.listUsable(service.name, now());
    const endpoint = chooseEndpoint({
      candidates,
      excluded: met,
      availabilityZone,
      now: now(),
      random,
    });
    if (!endpoint) break;
    if (met.size > 0 && !budget.take(service.name, now())) break;
    met.add(endpoint.record.id);
    const isLast = !mayRepeat || sends + 1 >= route.mostAttempts;
    const timeoutMilliseconds = isLast ? left : left * ATTEMPT_TIME_SHARE;
    const outcome = await runAttempt(context, request, { endpoint, timeoutMilliseconds });
    if (outcome.kind === 'gone') return;
    if (outcome.kind === 'answered') {
      sends += 1;
      if (outcome.status < FIRST_FAILURE_STATUS) {
        endpoints.noteSuccess(endpoint);
        sendWhole(context, request, outcome);
        return;
      }
      fallback = outcome;
      mayHaveRun = true;
      if (!mayRepeat) break;
      continue;
    }
    reason = outcome.reason;
    endpoints.noteFailure(endpoint, now());
    logger.log('warn', 'attempt-failed', {
      request: request.caller.attempt,
      endpoint: endpoint.record.id,
      outcome: outcome.kind,
      reason,
    });
    if (outcome.kind === 'notSent') {
      failedConnections += 1;
      endpoints.avoid(endpoint, now(), REFUSED_CONNECTION_MILLISECONDS);
    } else sends += 1;
    if (outcome.kind !== 'unknown') continue;
    mayHaveRun = true;
    timedOut = outcome.isTimeout === true;
    if (!mayRepeat) break;
  }
  if (fallback) {
    sendWhole(context, request, fallback);
    return;
  }
  const code: ResultCodeName = !mayHaveRun
    ? 'noEndpoint'
    : timedOut
      ? 'outcomeUnknown'
      : 'endpointFailed';
  logger.log('warn', 'request-failed', {
    request: request.caller.attempt,
    route: route.name,
    code,
    reason,
    sends,
    milliseconds: Math.round(now() - request.arrivedAt),
  });
  answerFailure(response, { code, ...(!mayHaveRun && { retryAfterSeconds: RETRY_AFTER_SECONDS }) });
}
