/**
 * Relay of requests that a path of endpoints answers with a stream of events.
 *
 * Only complete events are forwarded, each once and in order. When a run fails or stalls, the
 * response continues: on a path with the same first endpoint if only later endpoints were lost,
 * otherwise in a new run after the last forwarded event.
 */
import type { ChosenPath } from '../../../request/choosePath/index.js';
import type { EndpointCall, ResponseEnd } from '../../../types/relay/index.js';
import type { PathHop } from '../../../types/site/index.js';
import type { CrashCheck } from '../createCrashRecorder/index.js';
import type { BlockedRun } from '../createRunGate/index.js';
import { createRunCounter } from '../createRunCounter/index.js';
import { createRunRecord, UNPROVEN_END, type RunRecord } from '../createRunRecord/index.js';
import { createStreamResponse } from '../createStreamResponse/index.js';
import { createStreamPlace } from '../createStreamPlace/index.js';
import { createStreamPaths } from '../createStreamPaths/index.js';
import { decideStreamFailure, type StreamFailureConditions } from '../decideStreamFailure/index.js';
import { formatHops } from '../formatHops/index.js';
import { moveStream } from '../moveStream/index.js';
import { CONTINUATION_PRIORITY, openRequestRun } from '../openRequestRun/index.js';
import type { NonStreamResponse } from '../openStreamRun/index.js';
import { watchLostEndpoints } from '../watchLostEndpoints/index.js';
import { watchStream } from '../watchStream/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** State of a stream; `checking` while the end of a run is looked into before the next one. */
type RunState = 'idle' | 'running' | 'checking' | 'moving' | 'done';

const NO_PATH = 'no path with enough free memory';

/** Open run of a stream. */
interface OpenRun {
  readonly call: EndpointCall;
  readonly path: ChosenPath;
  readonly release: () => void;
  readonly record: RunRecord;
}

/**
 * Relays a request whose response is a stream.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @returns a promise that resolves when the caller has its response or has disconnected
 * @example
 * await relayStream(context, request);
 */
export function relayStream(context: RelayContext, request: RelayedRequest): Promise<void> {
  return new Promise((resolve) => {
    startStream(context, request, resolve);
  });
}

function startStream(context: RelayContext, request: RelayedRequest, onDone: () => void): void {
  const { clock, budget, neighbours } = context;
  const { route, service, caller, deadlineAt, log } = request;
  const paths = createStreamPaths(context, request, hasBegun);
  let state: RunState = 'idle';
  let call: EndpointCall | undefined;
  let path: ChosenPath | undefined;
  let release: (() => void) | undefined;
  /** Run that another one is to take over, and that stays open until that delivers an event. */
  let standby: OpenRun | undefined;
  let checks = 0;
  /** Whether this node gave up the last run, while its endpoint had not ended it. */
  let isAbandoned = false;
  const counter = createRunCounter(route, request.isRepeat);
  const gate = context.partGuard.createGate(request);
  let run = createRunRecord(context, request, gate);
  const stopBlockListener = gate.onBlocked(() => {
    if (state === 'idle' || state === 'done' || response.hasBegun()) return;
    const blocked = gate.check();
    if (blocked) failBlocked(blocked);
  });

  const response = createStreamResponse({
    context,
    request,
    onFull: () => {
      watch.stop();
      call?.pause();
    },
    onDrained: () => {
      call?.resume();
      if (state === 'running') watch.reset();
    },
  });
  const watch = watchStream({
    context,
    request,
    getPath: () => path,
    hasBegun: response.hasBegun,
    onReplace: replaceIdleRun,
    onTimeUp: () => {
      fail('deadline reached', { isTimeUp: true });
    },
    onStop: () => {
      fail('node stops', { isTimeUp: true });
    },
    onDisconnect: () => {
      if (state === 'done') return;
      response.endDisconnected();
      finish();
    },
  });
  const place = createStreamPlace({ context, request, paths, response, counter });
  const { computeSize } = place;
  const lostEndpoints = watchLostEndpoints({
    context,
    request,
    paths,
    getPath: () => path,
    isRunning: () => state === 'running' && !standby,
    isEstablished: () => run.isEstablished(),
    hasBegun: response.hasBegun,
    getTimeToSilence: watch.getTimeToSilence,
    mayReplace: () => mayReplace(1),
    computeSize,
    checkSuspect,
    onMove: (newPath) => {
      void moveTo(newPath);
    },
    onReplace: abandonRun,
  });

  function listHops(): readonly PathHop[] {
    return path?.hops ?? [];
  }

  /** Returns whether runs continue a response that has begun, here or at the node that handed the request over. */
  function hasBegun(): boolean {
    return response.hasBegun() || (request.isHandedOver && caller.lastEventId > 0);
  }

  /** Begins to look into the end of a run; returns whether nothing else has happened since. */
  function beginCheck(): () => boolean {
    state = 'checking';
    checks += 1;
    const own = checks;
    return () => state === 'checking' && checks === own;
  }

  function hasEnded(): boolean {
    return state === 'done';
  }

  function endRun(): void {
    watch.stop();
    call?.abort();
    call = undefined;
    release?.();
    release = undefined;
  }

  function endStandby(): void {
    standby?.call.abort();
    standby?.release();
    standby = undefined;
  }

  /** Goes on with the run that was to be replaced; returns false when there is none. */
  function restoreStandby(reason: string): boolean {
    if (!standby) return false;
    // The other run may have begun, so that it counts as one that the route allows.
    if (call) recordBrokenRun('not needed', path);
    endRun();
    ({ call, path, release, record: run } = standby);
    standby = undefined;
    state = 'running';
    checks += 1;
    isAbandoned = false;
    log.add('run-kept', { reason, path: formatHops(listHops()) });
    if (!response.isFull()) {
      call.resume();
      watch.reset();
    }
    lostEndpoints.recheckLater();
    return true;
  }

  function recordBrokenRun(reason: string, broken: ChosenPath | undefined): void {
    const runs = counter.recordFailed();
    const lastEvent = response.getLastEventId();
    const hops = formatHops(broken?.hops ?? []);
    log.add('run-broken', { reason, runs, lastEvent, abandoned: isAbandoned, path: hops });
  }

  /** Ends the run that was replaced, for the reason that its replacement delivers events or that it broke off. */
  function giveUpStandby(reason: string): void {
    recordBrokenRun(reason, standby?.path);
    endStandby();
    lostEndpoints.recheckLater();
  }

  /** Ends the run that was to be replaced, after its endpoint refused it or was not reached. */
  function endRefusedStandby(reason: string, count = counter.recordRefused): void {
    isAbandoned = false;
    count();
    log.add('run-refused', { reason, path: formatHops(standby?.path.hops ?? []) });
    endStandby();
  }

  /** Goes on after the run that was to be replaced has ended its response. */
  async function completeStandby(kept: OpenRun, end: ResponseEnd): Promise<void> {
    const isComplete = await kept.record.confirmEnd(end, kept.path.hops);
    if (standby === kept && !isComplete) {
      isAbandoned = false;
      giveUpStandby(UNPROVEN_END);
      return;
    }
    if (standby === kept) restoreStandby('complete');
    if (call !== kept.call) return;
    if (isComplete) endComplete();
    else recover(UNPROVEN_END);
  }

  function finish(): void {
    state = 'done';
    endRun();
    endStandby();
    watch.close();
    place.end();
    lostEndpoints.close();
    stopBlockListener();
    gate.end();
    onDone();
  }

  function failBlocked({ part, retryAfterSeconds }: BlockedRun): void {
    failRun(`part ${part} is blocked`, { blockedSeconds: retryAfterSeconds });
  }

  /** Ends the request, unless a run that was to be replaced is still open. */
  function failRun(reason: string, conditions: Partial<StreamFailureConditions> = {}): void {
    if (!restoreStandby(reason)) fail(reason, conditions);
  }

  function fail(reason: string, conditions: Partial<StreamFailureConditions> = {}): void {
    if (state === 'done') return;
    // The current run may have begun, although none of its events has arrived.
    if (call) counter.recordMayHaveRun();
    const hasBegun = response.hasBegun();
    response.fail({
      reason,
      isAbandoned,
      ...counter.count(call !== undefined),
      ...decideStreamFailure({
        hasBegun,
        mayHaveRun: counter.mayHaveRun(),
        isTimeUp: false,
        retryMilliseconds: paths.findRetryTime(),
        ...conditions,
      }),
    });
    finish();
  }

  /** Selects the path of the next run, and starts it when its first endpoint may get a request. */
  function startRun(chosen?: ChosenPath): void {
    const blocked = gate.mayRun() ? undefined : gate.admitRun();
    if (blocked) {
      failBlocked(blocked);
      return;
    }
    path = chosen ?? place.select();
    if (!path && place.mayWait()) void waitForPath();
    else if (!path) failRun(paths.wasDenied() ? 'rate limit' : NO_PATH);
    else if (paths.needsPermit(path)) void startPermittedRun(path);
    else runOn(path);
  }

  async function waitForPath(): Promise<void> {
    const isUnchanged = beginCheck();
    const found = await place.wait();
    if (!isUnchanged()) return;
    if ('hops' in found) startRun(found);
    else fail(NO_PATH, { forecastMilliseconds: found.retryAfterMilliseconds });
  }

  async function startPermittedRun(chosen: ChosenPath): Promise<void> {
    const isUnchanged = beginCheck();
    const mayStart = await paths.acquirePermit(chosen, {
      size: computeSize(),
      priority: response.hasBegun() ? CONTINUATION_PRIORITY : request.priority,
    });
    if (!isUnchanged()) return;
    if (mayStart) runOn(chosen);
    else startRun();
  }

  function runOn(chosen: ChosenPath): void {
    const [first] = chosen.hops;
    // Another node admits what it passes on itself.
    const blocked = chosen.neighbour ? undefined : gate.admitRun();
    if (blocked) {
      failBlocked(blocked);
      return;
    }
    if (!first) {
      failRun('path without endpoints');
      return;
    }
    const isRepeat = standby !== undefined || counter.isRepeat();
    // Another node takes a repeat from its own part of the budget.
    if (isRepeat && !chosen.neighbour && !budget.take(service.name, clock.now())) {
      failRun('retry budget exhausted');
      return;
    }
    release = place.reserve(chosen);
    state = 'running';
    if (chosen.neighbour) logHandOver(chosen.neighbour.name);
    openRun(chosen, first);
    watch.reset();
  }

  function logHandOver(peer: string): void {
    context.metrics.count('handed_over', 'sent');
    log.add('request-handed-over', { peer, reason: 'no endpoint reached' });
  }

  function openRun({ neighbour }: ChosenPath, first: PathHop): void {
    run = createRunRecord(context, request, gate);
    run.begin(first);
    const opened: EndpointCall = openRequestRun({
      context,
      request,
      first,
      path: listHops(),
      isNeighbour: neighbour !== undefined,
      lastEventId: response.getLastEventId(),
      hasBegun: response.hasBegun(),
      isRepeat: standby !== undefined || counter.isRepeat(),
      onEvent: (event, headers) => {
        if (standby?.call === opened) restoreStandby('events');
        if (call !== opened) return false;
        if (!response.isFull()) watch.reset();
        run.recordEvent();
        counter.recordMayHaveRun();
        const result = response.forwardEvent(event, headers);
        if (result === 'pass' && standby) giveUpStandby('replaced');
        isAbandoned = false;
        if (result !== 'broken') return true;
        recover('events out of order');
        return false;
      },
      onNonStreamResponse: (received) => {
        const { status, metadata } = received.head;
        if (standby?.call !== opened) {
          handleNonStreamResponse(received);
          return;
        }
        if (!metadata.isNotExecuted) {
          giveUpStandby(`status ${status}`);
          return;
        }
        paths.recordRefusal(standby.path.hops, received.head);
        endRefusedStandby(`status ${status}`);
      },
      onComplete: (end) => {
        if (standby?.call === opened) void completeStandby(standby, end);
        else if (end === 'framing') endComplete();
        else void endWithConnection();
      },
      onFailed: (reason) => {
        isAbandoned = false;
        paths.recordFailedRun(first, reason);
        // The other node may have used all attempts that the route allows.
        if (neighbour) counter.recordExhausted();
        if (standby?.call !== opened) {
          void recoverBroken(reason, 'report');
          return;
        }
        void standby.record.recordBroken(reason, 'report');
        giveUpStandby(reason);
      },
      onNotSent: (reason) => {
        paths.recordNotSent(first, reason);
        if (standby?.call === opened) endRefusedStandby(reason, counter.recordNotSent);
        else retryRefused(reason, counter.recordNotSent);
      },
    });
    call = opened;
  }

  /** Ends a response that only its connection ended, once it is proved to be complete. */
  async function endWithConnection(): Promise<void> {
    const isUnchanged = beginCheck();
    endRun();
    counter.recordMayHaveRun();
    // The other node may have used all attempts that the route allows.
    if (path?.neighbour) counter.recordExhausted();
    const isComplete = await run.confirmEnd('connection', listHops());
    if (!isUnchanged()) return;
    if (isComplete) endComplete();
    else recover(UNPROVEN_END);
  }

  function endComplete(): void {
    if (!response.hasBegun()) {
      recover('response without events');
      return;
    }
    run.recordComplete();
    response.endComplete(counter.count(true));
    paths.recordSuccess(listHops());
    finish();
  }

  function handleNonStreamResponse({ head, body }: NonStreamResponse): void {
    const { status, metadata, headers } = head;
    if (metadata.isNotExecuted) {
      const refusing = paths.recordRefusal(listHops(), head);
      retryRefused(`status ${status} of ${refusing ?? 'an unknown endpoint'}`);
      return;
    }
    counter.recordMayHaveRun();
    if (path?.neighbour) counter.recordExhausted();
    if (!response.hasBegun() && metadata.isFromEndpoint && counter.isLastRun()) {
      response.forwardFailure({ status, headers, body });
      finish();
      return;
    }
    recover(`status ${status}`);
  }

  /** Starts another run after one that an endpoint refused without executing it. */
  function retryRefused(reason: string, count = counter.recordRefused): void {
    endRun();
    count();
    log.add('run-refused', { reason, path: formatHops(listHops()) });
    if (restoreStandby(reason)) return;
    if (!counter.mayRetryRefused() || deadlineAt <= clock.now()) fail(reason);
    else startRun();
  }

  function mayRunAgain(): boolean {
    return counter.mayRunAgain() && deadlineAt > clock.now();
  }

  /** Replaces an idle run; returns false, and the run continues, when nothing can replace it. */
  function replaceIdleRun(): boolean {
    const [first] = listHops();
    // Another node replaces its own silent runs.
    if (state !== 'running' || path?.neighbour) return false;
    if (standby) return replaceIdleStandby(standby);
    const newPath = first && lostEndpoints.selectReplacement(first.endpoint);
    if (!newPath) return false;
    abandonRun(newPath, 'silence');
    return true;
  }

  /** Starts a third run where two are silent and the route allows another one. */
  function replaceIdleStandby({ path: keptPath }: OpenRun): boolean {
    const firstHops = [keptPath, path].flatMap((open) => open?.hops.slice(0, 1) ?? []);
    const excluded = firstHops.map(({ endpoint }) => endpoint);
    if (!mayReplace(2)) return false;
    const newPath = paths.selectWithoutEndpoints(excluded, computeSize());
    if (!newPath) return false;
    giveUpStandby('silence');
    abandonRun(newPath, 'silence');
    return true;
  }

  /** Returns whether another run may take over, where a number of runs are open. */
  function mayReplace(openRuns: number): boolean {
    const now = clock.now();
    // Another node takes the repeat from its own part of the budget.
    const hasBudget = neighbours.arePreferred(false) || budget.countLeft(service.name, now) >= 1;
    const isPossible = deadlineAt > now && hasBudget && counter.mayReplaceRun(openRuns);
    return isPossible && gate.mayRun();
  }

  /** Finds out whether a run whose endpoint seems lost may be followed by another one. */
  async function checkSuspect(): Promise<boolean> {
    const suspectCall = call;
    await run.recordBroken('endpoint lost', 'connection');
    if (gate.mayRepeatAfterCrash()) return true;
    if (call === suspectCall && !response.hasBegun()) fail('endpoint lost');
    return false;
  }

  /** Finds out whether a run without an answer crashed its endpoint before another one is started. */
  async function recoverBroken(reason: string, check: CrashCheck): Promise<void> {
    const isKnown = run.recordBroken(reason, check);
    if (run.isEstablished()) {
      recover(reason);
      return;
    }
    const isUnchanged = beginCheck();
    const isRepeatable = mayRunAgain();
    endRun();
    recordBrokenRun(reason, path);
    await isKnown;
    if (!isUnchanged()) return;
    if (gate.mayRepeatAfterCrash()) repeatRun(reason, isRepeatable);
    else failRun(reason);
  }

  /**
   * Starts another run for one that its endpoint has not ended; where the response has begun, that stays open until
   * the other one delivers an event.
   */
  function abandonRun(newPath: ChosenPath, reason: string): void {
    isAbandoned = true;
    if (!response.hasBegun() || !call || !path || !release) {
      recover(reason, newPath);
      return;
    }
    standby = { call, path, release, record: run };
    call = undefined;
    release = undefined;
    log.add('run-doubled', {
      reason,
      path: formatHops(path.hops),
      newPath: formatHops(newPath.hops),
    });
    startRun(newPath);
  }

  /** Starts another run after a failed one, on the given path or a newly selected one. */
  function recover(reason: string, chosen?: ChosenPath): void {
    if (state === 'done') return;
    endRun();
    const isRepeatable = mayRunAgain();
    recordBrokenRun(reason, path);
    repeatRun(reason, isRepeatable, chosen);
  }

  /** Goes on after a failed run: with the run that was to be replaced, or with another one. */
  function repeatRun(reason: string, isRepeatable: boolean, chosen?: ChosenPath): void {
    if (restoreStandby(reason)) return;
    if (isRepeatable) startRun(chosen);
    else fail(reason);
  }

  async function moveTo(newPath: ChosenPath): Promise<void> {
    const movedCall = call;
    state = 'moving';
    const move = { path: listHops(), newPath: newPath.hops, size: computeSize() };
    const { outcome, isAccepted, releaseNew, logMove } = await moveStream(context, request, move);
    if (call !== movedCall || hasEnded()) {
      releaseNew();
      return;
    }
    logMove(response.getLastEventId());
    state = 'running';
    if (!isAccepted) {
      releaseNew();
      lostEndpoints.replace(`migration failed: ${outcome}`);
      return;
    }
    release?.();
    release = releaseNew;
    path = newPath;
    watch.reset();
    lostEndpoints.check();
  }

  startRun();
}
