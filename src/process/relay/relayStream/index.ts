/**
 * Requests that are answered as a stream of events by a path of endpoints.
 *
 * Only whole events are passed on, each once and in order. When a run breaks off or stalls, the
 * answer goes on: on a path that keeps the first endpoint where only later ones were lost, else in
 * a new run after the last event that was passed on.
 */
import { estimateSize, type RequestSize } from '../../../request/estimateSize/index.js';
import type { ChosenPath } from '../../../request/choosePath/index.js';
import { findBackoffEnd } from '../../../request/findBackoffEnd/index.js';
import type { EndpointCall } from '../../../types/relay/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { createRunTally } from '../createRunTally/index.js';
import { createStreamAnswer } from '../createStreamAnswer/index.js';
import { createStreamPaths } from '../createStreamPaths/index.js';
import { decideStreamFailure } from '../decideStreamFailure/index.js';
import { formatHops } from '../formatHops/index.js';
import { moveStream } from '../moveStream/index.js';
import { openRequestRun } from '../openRequestRun/index.js';
import type { RunRefusal } from '../openStreamRun/index.js';
import { takeRoom } from '../selectPath/index.js';
import { createStreamWatch } from '../watchStream/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

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
    startStream(context, request, resolve);
  });
}

function startStream(context: RelayContext, request: RelayedRequest, onDone: () => void): void {
  const { clock, budget, endpoints } = context;
  const { route, service, caller, finalAt, log } = request;
  const paths = createStreamPaths(context, request);
  let state: RunState = 'idle';
  let call: EndpointCall | undefined;
  let path: ChosenPath | undefined;
  let giveBack: (() => void) | undefined;
  const tally = createRunTally(route);

  const answer = createStreamAnswer({
    context,
    request,
    onFull: () => {
      watch.stop();
      call?.pause();
    },
    onDrained: () => {
      if (state !== 'running') return;
      call?.resume();
      watch.note();
    },
  });
  const watch = createStreamWatch({
    context,
    request,
    getPath: () => path,
    hasBegun: answer.hasBegun,
    onReplace: replaceSilent,
    onLost: (lost) => {
      if (state === 'running') avoidLost(lost);
    },
    onTimeUp: () => {
      fail('time is up', true);
    },
    onGone: () => {
      if (state === 'done') return;
      answer.endGone();
      finish();
    },
  });

  function listHops(): readonly PathHop[] {
    return path?.hops ?? [];
  }

  function isDone(): boolean {
    return state === 'done';
  }

  function endRun(): void {
    watch.stop();
    call?.abort();
    call = undefined;
    giveBack?.();
    giveBack = undefined;
  }

  function finish(): void {
    state = 'done';
    endRun();
    watch.close();
    onDone();
  }

  function fail(reason: string, isTimeUp = false): void {
    if (state === 'done') return;
    // A run that is under way may have begun, although no event of it has come.
    if (call) tally.noteMayHaveRun();
    const hasBegun = answer.hasBegun();
    answer.fail({
      reason,
      ...tally.count(call !== undefined),
      ...decideStreamFailure({
        hasBegun,
        mayHaveRun: tally.mayHaveRun(),
        isTimeUp,
        restMilliseconds: findBackoffEnd(endpoints.list(), service.name, clock.now()),
      }),
    });
    finish();
  }

  function countSize(): RequestSize {
    return estimateSize({ caller, model: service.model, lastEventId: answer.getLast() });
  }

  function startRun(chosen?: ChosenPath): void {
    const size = countSize();
    path = chosen ?? paths.select(size);
    const [first] = listHops();
    if (!first) {
      fail('no path with room');
      return;
    }
    if (tally.isRepeat() && !budget.take(service.name, clock.now())) {
      fail('retry budget is used up');
      return;
    }
    giveBack = takeRoom(context, service.model, listHops(), size.roomTokens);
    state = 'running';
    openRun(first);
    watch.note();
  }

  function openRun(first: PathHop): void {
    const opened: EndpointCall = openRequestRun({
      context,
      request,
      first,
      path: listHops(),
      lastEvent: answer.getLast(),
      hasBegun: answer.hasBegun(),
      onEvent: (event, headers) => {
        if (call !== opened) return false;
        watch.note();
        tally.noteMayHaveRun();
        if (answer.passEvent(event, headers) !== 'broken') return true;
        recover('events out of order');
        return false;
      },
      onRefusal: takeRefusal,
      onWhole: endWhole,
      onBroken: (reason) => {
        paths.noteBroken(first, reason);
        recover(reason);
      },
      onNotSent: (reason) => {
        paths.noteNotSent(first, reason);
        retryRefused(reason);
      },
    });
    call = opened;
  }

  function endWhole(): void {
    if (!answer.hasBegun()) {
      recover('answer without events');
      return;
    }
    answer.endWhole(tally.count(true));
    paths.noteWhole(listHops());
    finish();
  }

  function takeRefusal({ head, body }: RunRefusal): void {
    const { status, metadata, headers } = head;
    if (metadata.isNotExecuted) {
      const refusing = paths.noteRefused(listHops(), status, metadata.failedAddress);
      retryRefused(`status ${status} of ${refusing ?? 'an unknown endpoint'}`);
      return;
    }
    tally.noteMayHaveRun();
    if (!answer.hasBegun() && metadata.isFromEndpoint && tally.isLastRun()) {
      answer.passFailure({ status, headers, body });
      finish();
      return;
    }
    recover(`status ${status}`);
  }

  /** Another run after one that an endpoint refused without running it. */
  function retryRefused(reason: string): void {
    endRun();
    tally.noteRefused();
    log.note('run-refused', { reason, path: formatHops(listHops()) });
    if (!tally.mayRetryRefused() || finalAt <= clock.now()) fail(reason);
    else startRun();
  }

  function mayRunAgain(): boolean {
    return tally.mayRunAgain() && finalAt > clock.now();
  }

  /** Another run for one that is silent; one that nothing can replace goes on. */
  function replaceSilent(): boolean {
    const [first] = listHops();
    if (!first || !mayRunAgain() || budget.countLeft(service.name, clock.now()) < 1) return false;
    const other = paths.selectElsewhere(first.endpoint, countSize());
    if (!other) return false;
    recover('silence', other);
    return true;
  }

  /** Another run after one that broke off, on a path that was chosen already or a new one. */
  function recover(reason: string, chosen?: ChosenPath): void {
    if (state === 'done') return;
    endRun();
    const isReplaceable = mayRunAgain();
    const runs = tally.noteBroken();
    const lastEvent = answer.getLast();
    log.note('run-broken', { reason, runs, lastEvent, path: formatHops(listHops()) });
    if (isReplaceable) startRun(chosen);
    else fail(reason);
  }

  /** Leaves a path through a lost endpoint: moved where the first endpoint lives, else run anew. */
  function avoidLost(lost: string): void {
    const [firstHop] = listHops();
    const mustRunAnew = firstHop?.endpoint === lost || !context.decisions.movesRuns;
    const other = mustRunAnew ? undefined : paths.selectAfter(firstHop, countSize());
    if (other) void moveTo(other);
    else recover('endpoint lost');
  }

  async function moveTo(other: ChosenPath): Promise<void> {
    const moved = call;
    state = 'moving';
    const move = { path: listHops(), newPath: other.hops, size: countSize() };
    const { outcome, isBegun, giveBackNew, note } = await moveStream(context, request, move);
    if (call !== moved || isDone()) {
      giveBackNew();
      return;
    }
    note(answer.getLast());
    state = 'running';
    if (!isBegun) {
      giveBackNew();
      recover(`not moved: ${outcome}`);
      return;
    }
    giveBack?.();
    giveBack = giveBackNew;
    path = other;
    watch.note();
    const lostNow = paths.findLost(other.hops);
    if (lostNow) avoidLost(lostNow.endpoint);
  }

  startRun();
}
