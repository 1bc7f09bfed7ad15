/**
 * Relay of requests whose response one endpoint sends as a complete body.
 */
import { MILLISECONDS_PER_SECOND } from '../../../constants/index.js';
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { chooseEndpoint } from '../../../request/chooseEndpoint/index.js';
import { computePermitWaitLimit } from '../../../request/computePermitWaitLimit/index.js';
import { findRetryTime } from '../../../request/findRetryTime/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import { acquirePermit } from '../acquirePermit/index.js';
import { sendFailure, sendBufferedResponse, type BufferedResponse } from '../sendFailure/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { createBufferedProgress, type BufferedProgress } from '../createBufferedProgress/index.js';
import { handOverBuffered } from '../handOverBuffered/index.js';
import { recordFailure } from '../recordFailure/index.js';
import type { BlockedRun, RunGate } from '../createRunGate/index.js';
import type { AttemptOutcome } from '../runBufferedAttempt/index.js';
import { sendOnce } from '../sendOnce/index.js';
import { logAnsweredRequest } from '../logAnsweredRequest/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** `Retry-After` when no endpoint accepts the request, in seconds. */
const RETRY_AFTER_SECONDS = 0.3;
/** Share of the remaining time that a send gets while another may follow. */
const ATTEMPT_TIME_SHARE = 0.5;
/** Maximum number of failed connections of one request. */
const MAXIMUM_FAILED_CONNECTIONS = 3;
/** Time for which an endpoint that accepts no connection gets no requests, in milliseconds. */
const CONNECTION_FAILURE_AVOID_MILLISECONDS = 1_000;
const FIRST_FAILURE_STATUS = 500;
/** Maximum number of nodes that a request is handed over to, one after the other. */
const MAXIMUM_HAND_OVERS = 2;

/** What follows after a step: another one, nothing, or the final response to a request without an answer. */
type Step = 'again' | 'ended' | 'exhausted';

function pickEndpoint(
  context: RelayContext,
  request: RelayedRequest,
  { tried, denied }: BufferedProgress,
): Endpoint | undefined {
  const { endpoints, clock, permits, random, availabilityZone } = context;
  const now = clock.now();
  const candidates = endpoints.listUsable(request.service.name, now);
  const endpoint = chooseEndpoint({
    candidates,
    excluded: new Set([...tried, ...denied]),
    availabilityZone,
    estimateWait: ({ record }) => permits.estimateWait(record),
    now,
    random,
  });
  if (!endpoint) return undefined;
  request.log.add('endpoint-chosen', {
    endpoint: endpoint.record.id,
    load: Math.max(endpoint.localRequests + endpoint.remoteRequests, endpoint.running),
    loadAge: Math.round(Math.min(now - endpoint.loadReadAt, now)),
    candidates: candidates.length,
  });
  return endpoint;
}

/** Lists the endpoints that the request may still be sent to. */
function listUntried(
  { endpoints, clock }: RelayContext,
  { service }: RelayedRequest,
  { tried, denied }: BufferedProgress,
): Endpoint[] {
  return endpoints
    .listUsable(service.name, clock.now())
    .filter(({ record }) => !tried.has(record.id) && !denied.has(record.id));
}

/** Asks for the permit of an endpoint with a rate limit; resolves to whether the request may be sent now. */
async function mayBeSent(
  context: RelayContext,
  request: RelayedRequest,
  progress: BufferedProgress,
  { record }: Endpoint,
): Promise<boolean> {
  const { permits, clock } = context;
  const limit = permits.findLimit(record);
  if (!limit) return true;
  const hasOther = listUntried(context, request, progress).some(
    (other) => other.record.id !== record.id && !permits.findLimit(other.record),
  );
  const { priority, deadlineAt } = request;
  const remainingMilliseconds = deadlineAt - clock.now();
  const maximumWaitMilliseconds = hasOther
    ? 0
    : computePermitWaitLimit({ priority, remainingMilliseconds });
  return acquirePermit(context, request, { endpoint: record, limit, maximumWaitMilliseconds });
}

/** Returns whether another send could follow the next one. */
function mayFollow(
  context: RelayContext,
  request: RelayedRequest,
  progress: BufferedProgress,
): boolean {
  const { clock, budget } = context;
  const { route, service } = request;
  const isLastAttempt = progress.sends + 1 >= route.maximumAttempts;
  if (isLastAttempt || budget.countLeft(service.name, clock.now()) < 1) return false;
  return listUntried(context, request, progress).length > 0;
}

/** Records a send without a response that can be forwarded. */
function recordFailedSend(
  context: RelayContext,
  request: RelayedRequest,
  endpoint: Endpoint,
  outcome: Exclude<AttemptOutcome, { readonly kind: 'answered' | 'disconnected' }>,
  progress: BufferedProgress,
): void {
  const now = context.clock.now();
  progress.reason = outcome.reason;
  // An endpoint that requested a backoff is overloaded and has not failed.
  if (endpoint.backoffUntil <= now) recordFailure(context, endpoint);
  request.log.add('attempt-failed', {
    endpoint: endpoint.record.id,
    outcome: outcome.kind,
    reason: outcome.reason,
  });
  if (outcome.kind === 'notSent') {
    progress.failedConnections += 1;
    context.endpoints.avoid(endpoint, now, CONNECTION_FAILURE_AVOID_MILLISECONDS);
    return;
  }
  progress.sends += 1;
  if (outcome.kind === 'notRun') {
    progress.refused += 1;
    return;
  }
  progress.mayHaveRun = true;
  progress.timedOut = outcome.isTimeout === true;
}

function forwardResponse(
  context: RelayContext,
  request: RelayedRequest,
  endpointResponse: BufferedResponse,
  sends: number,
): void {
  const { response, route, arrivedAt } = request;
  sendBufferedResponse(response, endpointResponse);
  const first = Math.round(context.clock.now() - arrivedAt);
  const isSlow = first > route.objectiveMilliseconds;
  logAnsweredRequest(context, request, { first, pause: 0, longestPause: 0, sends, isSlow });
}

/**
 * Computes the `Retry-After` in seconds: the time until an endpoint accepts requests again, when all endpoints of
 * the service back off or have a rate limit.
 */
function computeRetryAfterSeconds(
  { endpoints, clock, permits }: RelayContext,
  { service }: RelayedRequest,
): number {
  const now = clock.now();
  const { estimateWait } = permits;
  const usable = endpoints.listUsable(service.name, now);
  if (usable.some(({ record }) => estimateWait(record) === 0)) return RETRY_AFTER_SECONDS;
  const options = { endpoints: endpoints.list(), service: service.name, estimateWait, now };
  const retryMilliseconds = findRetryTime(options) ?? 0;
  return Math.max(RETRY_AFTER_SECONDS, retryMilliseconds / MILLISECONDS_PER_SECOND);
}

function failRequest(
  context: RelayContext,
  request: RelayedRequest,
  progress: BufferedProgress,
): void {
  const { mayHaveRun, timedOut, reason, sends, refused, blockedSeconds } = progress;
  const failure: ResultCodeName = timedOut ? 'outcomeUnknown' : 'endpointFailed';
  const refusal: ResultCodeName = blockedSeconds === undefined ? 'noEndpoint' : 'blocked';
  const code = mayHaveRun ? failure : refusal;
  request.log.add('request-failed', {
    route: request.route.name,
    code,
    reason,
    sends,
    refused,
    lastEvent: 0,
    milliseconds: Math.round(context.clock.now() - request.arrivedAt),
  });
  request.log.end(true);
  const refusedSeconds =
    progress.retryMilliseconds === undefined
      ? undefined
      : progress.retryMilliseconds / MILLISECONDS_PER_SECOND;
  const retryAfter = !mayHaveRun && {
    retryAfterSeconds:
      blockedSeconds ?? refusedSeconds ?? computeRetryAfterSeconds(context, request),
  };
  sendFailure(request.response, { code, ...retryAfter });
}

/** Returns whether a request is blocked, and records the reason for its failure. */
function isBlocked(blocked: BlockedRun | undefined, progress: BufferedProgress): boolean {
  if (!blocked) return false;
  progress.reason = `part ${blocked.part} is blocked`;
  progress.blockedSeconds = blocked.retryAfterSeconds;
  return true;
}

/** Ends a request whose caller has disconnected. */
function endDisconnected({ clock }: RelayContext, { log, arrivedAt }: RelayedRequest): void {
  log.add('request-cancelled', {
    milliseconds: Math.round(clock.now() - arrivedAt),
    lastEvent: 0,
  });
  log.end(false);
}

/**
 * Relays a request to one endpoint, and to others when retries are allowed.
 *
 * A request that may be executed at most once is sent again only if it was certainly not executed.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @returns a promise that resolves when the caller has its response or has disconnected
 * @example
 * await relayBuffered(context, request);
 */
export async function relayBuffered(context: RelayContext, request: RelayedRequest): Promise<void> {
  const gate = context.partGuard.createGate(request);
  try {
    await sendUntilAnswered(context, request, gate);
  } finally {
    gate.end();
  }
}

async function sendUntilAnswered(
  context: RelayContext,
  request: RelayedRequest,
  gate: RunGate,
): Promise<void> {
  const progress = createBufferedProgress();
  let step: Step = 'again';
  while (step === 'again') step = await takeStep(context, request, gate, progress);
  if (step === 'ended') return;
  if (progress.fallback) forwardResponse(context, request, progress.fallback, progress.sends);
  else failRequest(context, request, progress);
}

/** Sends the request once more, to an endpoint or through another node. */
function takeStep(
  context: RelayContext,
  request: RelayedRequest,
  gate: RunGate,
  progress: BufferedProgress,
): Promise<Step> | Step {
  const { clock, neighbours, stopSignal } = context;
  const { route, service, deadlineAt } = request;
  const isTimeUp = clock.now() >= deadlineAt || stopSignal.isRaised();
  if (progress.sends >= route.maximumAttempts || isTimeUp) return 'exhausted';
  // A blocked request must not take a permit that others need.
  if (!gate.mayRun() && isBlocked(gate.admitRun(), progress)) return 'exhausted';
  const preferred = neighbours.arePreferred(progress.failedConnections > 0)
    ? pickNeighbour(context, request, progress)
    : undefined;
  if (preferred) return handOver(context, request, progress, preferred);
  const mayConnect = progress.failedConnections < MAXIMUM_FAILED_CONNECTIONS;
  const endpoint = mayConnect ? pickEndpoint(context, request, progress) : undefined;
  if (endpoint) return sendToEndpoint(context, request, gate, progress, endpoint);
  const last = neighbours.mayReachMore(service.name)
    ? pickNeighbour(context, request, progress)
    : undefined;
  return last ? handOver(context, request, progress, last) : 'exhausted';
}

function pickNeighbour(
  { neighbours }: RelayContext,
  { isHandedOver }: RelayedRequest,
  progress: BufferedProgress,
): NodeRecord | undefined {
  if (isHandedOver || progress.neighbours.size >= MAXIMUM_HAND_OVERS) return undefined;
  return neighbours.pick(progress.neighbours);
}

async function handOver(
  context: RelayContext,
  request: RelayedRequest,
  progress: BufferedProgress,
  neighbour: NodeRecord,
): Promise<Step> {
  progress.neighbours.add(neighbour.name);
  const { reason } = progress;
  const isRepeat = progress.sends > 0;
  const outcome = await handOverBuffered(context, request, { neighbour, isRepeat, reason });
  if (outcome.kind === 'disconnected') {
    endDisconnected(context, request);
    return 'ended';
  }
  if (outcome.kind === 'answered') {
    forwardResponse(context, request, outcome.response, progress.sends + 1);
    return 'ended';
  }
  progress.reason = outcome.reason;
  if (outcome.kind === 'notSent') return 'again';
  if (outcome.kind === 'notRun') {
    progress.refused += 1;
    progress.retryMilliseconds = outcome.retryMilliseconds;
    return 'again';
  }
  // The other node may have used all attempts that the route allows.
  progress.mayHaveRun = true;
  progress.timedOut = outcome.isTimeout === true;
  return 'exhausted';
}

async function sendToEndpoint(
  context: RelayContext,
  request: RelayedRequest,
  gate: RunGate,
  progress: BufferedProgress,
  endpoint: Endpoint,
): Promise<Step> {
  const { endpoints, clock, budget, stopSignal } = context;
  const { route, service, deadlineAt } = request;
  const mayRepeat = route.kind === 'safe';
  if (!(await mayBeSent(context, request, progress, endpoint))) {
    progress.reason = 'rate limit';
    progress.denied.add(endpoint.record.id);
    return 'again';
  }
  const remainingMilliseconds = deadlineAt - clock.now();
  if (remainingMilliseconds <= 0 || stopSignal.isRaised()) return 'exhausted';
  if (!request.response.isOpen()) {
    endDisconnected(context, request);
    return 'ended';
  }
  if (isBlocked(gate.admitRun(), progress)) return 'exhausted';
  // An endpoint that accepted no connection got nothing.
  const isRepeat = request.isRepeat || progress.sends > 0;
  if (isRepeat && !budget.take(service.name, clock.now())) return 'exhausted';
  progress.tried.add(endpoint.record.id);
  const isLast = !mayRepeat || !mayFollow(context, request, progress);
  const timeoutMilliseconds = isLast
    ? remainingMilliseconds
    : remainingMilliseconds * ATTEMPT_TIME_SHARE;
  const outcome = await sendOnce(context, request, gate, { endpoint, timeoutMilliseconds });
  if (outcome.kind === 'disconnected') {
    endDisconnected(context, request);
    return 'ended';
  }
  if (outcome.kind !== 'answered') {
    recordFailedSend(context, request, endpoint, outcome, progress);
    return progress.mayHaveRun && !mayRepeat ? 'exhausted' : 'again';
  }
  progress.sends += 1;
  const { response } = outcome;
  if (response.status < FIRST_FAILURE_STATUS) {
    // A failure does not show that the request is harmless.
    gate.recordAnswer();
    endpoints.recordSuccess(endpoint);
    forwardResponse(context, request, response, progress.sends);
    return 'ended';
  }
  progress.fallback = response;
  progress.mayHaveRun = true;
  return mayRepeat ? 'again' : 'exhausted';
}
