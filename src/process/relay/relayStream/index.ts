/**
 * Requests that are answered as a stream of events by a path of endpoints.
 *
 * Only whole events are passed on, each once and in order. When a run breaks off or stalls, the
 * answer goes on: on a path that keeps the first endpoint where only later ones were lost, else in
 * a new run after the last event that was passed on.
 */
import { createEventGuard } from '../../../request/guardEvents/index.js';
import { estimateSize, type RequestSize } from '../../../request/estimateSize/index.js';
import { limitSilence } from '../../../request/limitSilence/index.js';
import type { StreamEvent } from '../../../request/splitEvents/index.js';
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { answerFailure, sendWholeAnswer } from '../answerCaller/index.js';
import type { EndpointCall } from '../openEndpointCall/index.js';
import { openStreamRun, type RunRefusal } from '../openStreamRun/index.js';
import { selectPath, takeRoom } from '../selectPath/index.js';
import { createSilenceWatch } from '../watchSilence/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Runs that endpoints refused before a request is refused. */
const MOST_REFUSED_RUNS = 3;
/** How long an endpoint that refused a run is left alone, in milliseconds. */
const REFUSING_MILLISECONDS = 200;
/** When callers may come back if no path has room, in seconds. */
const NO_ROOM_RETRY_SECONDS = 0.5;
/** Bytes that wait for a slow reader before the endpoint is paused. */
const MOST_WAITING_BYTES = 262_144;
/** Share of whole answers whose predicted and real times are logged. */
const LOGGED_SHARE = 0.05;

const TIME_IS_UP = 'time is up';

type RunState = 'idle' | 'running' | 'moving' | 'done';

/**
 * Relays a request whose answer is a stream.
 *
 * @param context - services of the process
 * @param request - the request
 * @returns resolves when the caller has its answer or has gone
 * @example
 * await relayStream(context, request);
 */
export function relayStream(context: RelayContext, request: RelayedRequest): Promise<void> {
  return new Promise((resolve) => {
    createStream(context, request, resolve).start();
  });
}

function createStream(
  context: RelayContext,
  request: RelayedRequest,
  onDone: () => void,
): { start: () => void } {
  const { wire, now, logger, budget, endpoints, examiner } = context;
  const { route, service, response, caller, finalAt } = request;
  const guard = createEventGuard(caller.lastEvent);
  const refusedBy = new Set<string>();
  let state: RunState = 'idle';
  let call: EndpointCall | undefined;
  let path: ChosenPath | undefined;
  let hops: readonly PathHop[] = [];
  let giveBack: (() => void) | undefined;
  let runs = 0;
  let refusedRuns = 0;
  let mayHaveRun = false;
  let isHeadSent = false;
  let waitsForReader = false;
  let firstEventAt = 0;
  let predicted: ChosenPath | undefined;

  const watch = createSilenceWatch({
    now,
    getLimit: () => limitSilence(path, isHeadSent).ask,
    getGiveUp: () => limitSilence(path, isHeadSent).giveUp,
    onSilence: examineHops,
    onGiveUp: () => {
      recover('silence');
    },
  });
  const stopLostListener = context.onLost((endpoint) => {
    if (state === 'running' && hops.some((hop) => hop.endpoint === endpoint)) avoidLost(endpoint);
  });
  const finalTimer = setTimeout(
    () => {
      fail(TIME_IS_UP);
    },
    Math.max(0, finalAt - now()),
  );
  request.onGone(() => {
    finish('gone');
  });

  function endRun(): void {
    watch.stop();
    call?.abort();
    call = undefined;
    giveBack?.();
    giveBack = undefined;
  }

  function finish(outcome: string): void {
    if (state === 'done') return;
    state = 'done';
    endRun();
    clearTimeout(finalTimer);
    stopLostListener();
    context.metrics.count('streams', outcome);
    onDone();
  }

  function fail(reason: string): void {
    if (state === 'done') return;
    // A run that is under way may have begun, although no event of it has come.
    if (call) mayHaveRun = true;
    logger.log('warn', 'request-failed', {
      request: caller.attempt,
      route: route.name,
      reason,
      runs,
      refusedRuns,
      lastEvent: guard.getLast(),
      milliseconds: Math.round(now() - request.arrivedAt),
    });
    if (isHeadSent) {
      // The answer must not look complete; the caller may resume after its last event.
      response.destroy();
    } else if (mayHaveRun) {
      answerFailure(response, {
        code: reason === TIME_IS_UP ? 'outcomeUnknown' : 'endpointFailed',
      });
    } else {
      answerFailure(response, { code: 'overloaded', retryAfterSeconds: NO_ROOM_RETRY_SECONDS });
    }
    finish(mayHaveRun ? 'failed' : 'refused');
  }

  function countSize(): RequestSize {
    return estimateSize({ caller, model: service.model, lastEvent: guard.getLast() });
  }

  function startRun(): void {
    const size = countSize();
    path = selectPath(context, request, { ...size, excluded: refusedBy });
    if (!path) {
      fail('no path with room');
      return;
    }
    const isRepeat = runs + refusedRuns > 0;
    if (isRepeat && !budget.take(service.name, now())) {
      fail('retry budget is used up');
      return;
    }
    const [first] = path.hops;
    if (!first) return;
    predicted ??= path;
    ({ hops } = path);
    giveBack = takeRoom(context, hops, size.roomTokens);
    state = 'running';
    openRun(first);
    watch.note();
  }

  function openRun(first: PathHop): void {
    const opened: EndpointCall = openStreamRun({
      wire,
      address: first.address,
      method: request.method,
      url: request.url,
      body: request.body,
      attempt: caller.attempt,
      headers: wire.buildRequestHeaders(request.rawHeaders, {
        address: first.address,
        endpoint: first.endpoint,
        account: request.account,
        deadlineMilliseconds: finalAt - now(),
        priority: isHeadSent ? 0 : request.priority,
        path: hops,
        lastEvent: guard.getLast(),
        bodyBytes: request.body?.length,
      }),
      onEvent: (event, rawHeaders) => call === opened && passEvent(event, rawHeaders),
      onRefusal: takeRefusal,
      onWhole: endWhole,
      onBroken: (reason) => {
        noteFailure(first, reason);
        recover(reason);
      },
      onNotSent: (reason) => {
        noteFailure(first, reason);
        refusedBy.add(first.endpoint);
        retryRefused(reason);
      },
    });
    call = opened;
  }

  function noteFailure(first: PathHop, reason: string): void {
    const endpoint = endpoints.find(first.endpoint);
    if (endpoint) endpoints.noteFailure(endpoint, now());
    void examiner.examine(first.endpoint, reason);
  }

  function endWhole(): void {
    if (!isHeadSent) {
      recover('answer without events');
      return;
    }
    response.end();
    logTimes();
    for (const hop of hops) {
      const endpoint = endpoints.find(hop.endpoint);
      if (endpoint) endpoints.noteSuccess(endpoint);
    }
    finish('whole');
  }

  function logTimes(): void {
    if (context.random() > LOGGED_SHARE) return;
    const pauses = Math.max(1, guard.getLast() - caller.lastEvent - 1);
    logger.log('info', 'stream-whole', {
      request: caller.attempt,
      predictedFirst: Math.round(predicted?.firstEventMilliseconds ?? 0),
      first: Math.round(firstEventAt - request.arrivedAt),
      predictedPause: Math.round(predicted?.pauseMilliseconds ?? 0),
      pause: Math.round((now() - firstEventAt) / pauses),
      hops: hops.length,
    });
  }

  function passEvent({ id, bytes }: StreamEvent, rawHeaders: readonly string[]): boolean {
    watch.note();
    mayHaveRun = true;
    const verdict = guard.check(id);
    if (verdict === 'broken') {
      recover('events out of order');
      return false;
    }
    if (verdict === 'drop') return true;
    if (!isHeadSent) {
      isHeadSent = true;
      firstEventAt = now();
      response.writeHead(200, wire.buildAnswerHeaders(rawHeaders));
      context.metrics.record(request.account ?? '', 'first-event', now() - request.arrivedAt);
    }
    response.write(bytes);
    if (response.writableLength > MOST_WAITING_BYTES) waitForReader();
    return true;
  }

  /** Stops reading from the endpoint until the caller has taken what waits for it. */
  function waitForReader(): void {
    if (waitsForReader) return;
    waitsForReader = true;
    watch.stop();
    call?.pause();
    response.once('drain', () => {
      waitsForReader = false;
      if (state !== 'running') return;
      call?.resume();
      watch.note();
    });
  }

  function takeRefusal({ status, facts, rawHeaders, body }: RunRefusal): void {
    if (facts.isNotRun) {
      const faulty =
        facts.faultyAddress === undefined
          ? undefined
          : endpoints.findByAddress(facts.faultyAddress);
      const faultyId = faulty?.record.id ?? hops[0]?.endpoint ?? '';
      refusedBy.add(faultyId);
      void examiner.examine(faultyId, `status ${status}`);
      const refusing = endpoints.find(faultyId);
      if (refusing) endpoints.avoid(refusing, now(), REFUSING_MILLISECONDS);
      retryRefused(`status ${status} of ${faulty?.record.id ?? 'the first endpoint'}`);
      return;
    }
    mayHaveRun = true;
    const isLastRun = runs + 1 >= route.mostAttempts;
    if (!isHeadSent && facts.isSealed && isLastRun) {
      sendWholeAnswer(response, { status, headers: wire.buildAnswerHeaders(rawHeaders), body });
      finish('endpoint failed');
      return;
    }
    recover(`status ${status}`);
  }

  /** Another run after one that an endpoint refused without running it. */
  function retryRefused(reason: string): void {
    endRun();
    refusedRuns += 1;
    logger.log('info', 'run-refused', { request: caller.attempt, reason, path: describePath() });
    if (refusedRuns > MOST_REFUSED_RUNS || finalAt <= now()) fail(reason);
    else startRun();
  }

  /** Another run after one that broke off. */
  function recover(reason: string): void {
    if (state === 'done') return;
    mayHaveRun = true;
    endRun();
    runs += 1;
    logger.log('warn', 'run-broken', {
      request: caller.attempt,
      reason,
      runs,
      lastEvent: guard.getLast(),
      path: describePath(),
    });
    if (!route.isResumable || runs >= Math.max(2, route.mostAttempts) + 1 || finalAt <= now())
      fail(reason);
    else startRun();
  }

  function describePath(): string {
    return hops.map(({ endpoint, range }) => `${endpoint}=${range.from}-${range.to}`).join(' ');
  }

  function examineHops(): void {
    for (const { endpoint } of hops) void examiner.examine(endpoint, 'silence');
  }

  function selectOther(): ChosenPath | undefined {
    const [firstHop] = hops;
    return selectPath(context, request, { ...countSize(), excluded: refusedBy, firstHop });
  }

  /** Leaves a path through a lost endpoint: moved where the first endpoint lives, else run anew. */
  function avoidLost(lost: string): void {
    const other = hops[0]?.endpoint === lost ? undefined : selectOther();
    if (other) {
      void moveTo(other);
      return;
    }
    recover('endpoint lost');
  }

  async function moveTo(other: ChosenPath): Promise<void> {
    const moved = call;
    const size = countSize();
    state = 'moving';
    const giveBackOther = takeRoom(context, other.hops, size.roomTokens);
    const outcome = await wire.movePath(caller.attempt, other.hops);
    if (call !== moved || isDone()) {
      giveBackOther();
      return;
    }
    logger.log('info', 'run-moved', {
      request: caller.attempt,
      reason: 'endpoint lost',
      outcome,
      lastEvent: guard.getLast(),
      path: describePath(),
    });
    state = 'running';
    if (outcome !== 'begun' && outcome !== 'done') {
      giveBackOther();
      recover(`not moved: ${outcome}`);
      return;
    }
    giveBack?.();
    giveBack = giveBackOther;
    path = other;
    ({ hops } = other);
    watch.note();
    const lostNow = hops.find(
      ({ endpoint }) => (endpoints.find(endpoint)?.lostUntil ?? now()) > now(),
    );
    if (lostNow) avoidLost(lostNow.endpoint);
  }

  function isDone(): boolean {
    return state === 'done';
  }

  return { start: startRun };
}
