/**
 * Plays a burst of the least urgent requests that is followed by one of the most urgent, at one node with few slots.
 *
 * Guards against a burst that keeps capacity from more urgent requests, against large accounts that delay small ones,
 * and against callers that return at the announced time and are refused again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '../src/process/createRandom/index.js';
import { createWaitingRoom, type WaitingRequest } from '../src/request/createWaitingRoom/index.js';

const SLOTS = 40;
const TOKENS = 900;
const PACE_MILLISECONDS = 40;
const EVENTS = { minimum: 34, maximum: 55 } as const;
const USUAL_EVENTS = (EVENTS.minimum + EVENTS.maximum) / 2;
const PLAY_MILLISECONDS = 9_000;
const DEADLINE_MILLISECONDS = 20_000;
const OBJECTIVES = [501, 501, 1_001] as const;
/** Requests per second by priority, with the time of a burst in milliseconds. */
const RATES = [
  { usual: 4, burst: 12, from: 4_000, to: 6_500 },
  { usual: 5, burst: 5, from: 0, to: 0 },
  { usual: 5, burst: 30, from: 1_500, to: 4_500 },
] as const;
const LARGE_ACCOUNT = 'large';
const SMALL_ACCOUNTS = 6;
const LARGE_SHARE = 0.6;
const ROUND_MILLISECONDS = 300;
/** `Retry-After` of the baseline, which refuses each request without a free slot at once, in milliseconds. */
const FIXED_RETRY_MILLISECONDS = 500;

/** Attempts that get a place for 1.5 s at most, so that most of a burst is refused. */
const SHORT_ATTEMPTS = { attemptMilliseconds: 3_000 } as const;

interface Caller extends WaitingRequest {
  readonly firstAt: number;
  readonly events: number;
  readonly expectedEvents: number;
  startedAt?: number;
  /** Time at which the caller was first told to return. */
  announcedAt?: number;
  refusals: number;
  /** Refusals of attempts that were made at an announced time. */
  refusedReturns: number;
  longestHeldMilliseconds: number;
}

interface Run {
  readonly caller: Caller;
  readonly startedAt: number;
}

interface PlayOptions {
  /** Deadline of one attempt, in milliseconds. */
  readonly attemptMilliseconds?: number;
  readonly hasUrgentBurst?: boolean;
}

type Policy = 'room' | 'baseline';

/**
 * Plays the bursts; returns all callers when each has been served or has given up.
 *
 * Callers try for 20 s; each of their attempts has a deadline of its own.
 */
function play(policy: Policy, seed: number, options: PlayOptions = {}): Caller[] {
  const { attemptMilliseconds = DEADLINE_MILLISECONDS, hasUrgentBurst = true } = options;
  const random = createRandom(seed);
  const callers: Caller[] = [];
  const actions: { readonly at: number; readonly act: () => void }[] = [];
  const running = new Set<Run>();
  let now = 0;
  const schedule = (at: number, act: () => void): void => {
    actions.push({ at, act });
  };
  const room = createWaitingRoom<Caller>({
    mayRun: () => running.size < SLOTS,
    isLoadKnown: () => true,
    readFacts: () => ({
      free: { requests: 0, tokens: 0 },
      running: [...running].map(({ caller, startedAt }) => ({
        remainingEvents: caller.expectedEvents - (now - startedAt) / PACE_MILLISECONDS,
        paceMilliseconds: PACE_MILLISECONDS,
        tokens: TOKENS,
      })),
      others: { requests: 0, tokens: 0 },
      loadAgeMilliseconds: 0,
      stayMilliseconds: USUAL_EVENTS * PACE_MILLISECONDS,
      nodes: 1,
      permitWaitMilliseconds: 0,
    }),
  });
  const refuse = (caller: Caller, retryMilliseconds: number, offeredAt: number): void => {
    caller.refusals += 1;
    caller.longestHeldMilliseconds = Math.max(caller.longestHeldMilliseconds, now - offeredAt);
    if (caller.announcedAt !== undefined) caller.refusedReturns += 1;
    const at = now + retryMilliseconds;
    caller.announcedAt ??= at;
    if (at < caller.firstAt + DEADLINE_MILLISECONDS)
      schedule(at, () => {
        attempt(caller);
      });
  };
  const start = (caller: Caller): void => {
    const run = { caller, startedAt: now };
    caller.startedAt = now;
    running.add(run);
    schedule(now + caller.events * PACE_MILLISECONDS, () => {
      running.delete(run);
      admit();
    });
  };
  const offeredAt = new Map<string, number>();
  const admit = (): void => {
    for (const { request, retryAfterMilliseconds } of room.removeLate(now)) {
      refuse(request, retryAfterMilliseconds, offeredAt.get(request.id) ?? now);
    }
    for (;;) {
      const caller = room.admitNext(now);
      if (!caller) return;
      start(caller);
    }
  };
  const attempt = (caller: Caller): void => {
    const hasSlot = running.size < SLOTS;
    if (policy === 'baseline') {
      if (hasSlot) start(caller);
      else refuse(caller, FIXED_RETRY_MILLISECONDS, now);
      return;
    }
    const isReturn = room.recordArrival(caller, now) !== undefined;
    if (hasSlot && !room.isBefore(caller.priority)) {
      start(caller);
      return;
    }
    offeredAt.set(caller.id, now);
    const leavesAt = caller.firstAt + DEADLINE_MILLISECONDS;
    const deadlineAt = Math.min(leavesAt, now + attemptMilliseconds);
    Object.assign(caller, { isReturn, arrivedAt: now, deadlineAt });
    const answer = room.offer(caller, now);
    if (answer.kind === 'refuse') refuse(caller, answer.retryAfterMilliseconds, now);
    admit();
  };
  const createCaller = (priority: 0 | 1 | 2): Caller => {
    const events = Math.round(EVENTS.minimum + random() * (EVENTS.maximum - EVENTS.minimum));
    const isLarge = random() < LARGE_SHARE;
    const id = `${callers.length}`;
    return {
      id,
      account: isLarge ? LARGE_ACCOUNT : `small-${Math.floor(random() * SMALL_ACCOUNTS)}`,
      priority,
      tokens: TOKENS,
      bytes: 2_000,
      returnKey: id,
      isReturn: false,
      arrivedAt: now,
      firstAt: now,
      objectiveMilliseconds: OBJECTIVES[priority],
      deadlineAt: now + DEADLINE_MILLISECONDS,
      events,
      expectedEvents: events * (0.8 + 0.4 * random()),
      refusals: 0,
      refusedReturns: 0,
      longestHeldMilliseconds: 0,
    };
  };
  for (const priority of [0, 1, 2] as const) {
    const { usual, burst, from, to } = RATES[priority];
    for (let at = 0; at < PLAY_MILLISECONDS;) {
      const isBurst = at >= from && at < to && (priority > 0 || hasUrgentBurst);
      const rate = isBurst ? burst : usual;
      at += (-Math.log(1 - random()) * 1_000) / rate;
      schedule(at, () => {
        const caller = createCaller(priority);
        callers.push(caller);
        attempt(caller);
      });
    }
  }
  for (let at = 0; at < 2 * DEADLINE_MILLISECONDS; at += ROUND_MILLISECONDS) schedule(at, admit);
  while (actions.length > 0) {
    const next = actions.reduce((first, action) => (action.at < first.at ? action : first));
    actions.splice(actions.indexOf(next), 1);
    now = next.at;
    next.act();
  }
  assert.equal(room.size(), 0, 'a request still waits at the end of the play');
  return callers;
}

function findPercentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor((percent / 100) * sorted.length))] ?? 0;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Returns the times that callers waited for a slot, with all of their attempts. */
function listWaits(callers: readonly Caller[]): number[] {
  return callers.map(
    ({ startedAt, firstAt }) => (startedAt ?? firstAt + DEADLINE_MILLISECONDS) - firstAt,
  );
}

/** Returns the share of callers that got a slot within their objective. */
function computeInTime(callers: readonly Caller[]): number {
  const inTime = callers.filter(
    ({ startedAt = Infinity, firstAt, objectiveMilliseconds }) =>
      startedAt - firstAt <= objectiveMilliseconds,
  );
  return inTime.length / callers.length;
}

/** Returns how much later than first announced the callers that were refused got a slot. */
function listReturnErrors(callers: readonly Caller[]): number[] {
  return callers.flatMap(({ startedAt, announcedAt }) =>
    startedAt === undefined || announcedAt === undefined ? [] : [startedAt - announcedAt],
  );
}

function describe(callers: readonly Caller[]): string {
  const waits = [0, 1, 2].map((priority) => {
    const own = callers.filter((caller) => caller.priority === priority);
    const [p50, p90] = [50, 90].map((percent) =>
      Math.round(findPercentile(listWaits(own), percent)),
    );
    return `priority ${priority}: in time ${computeInTime(own).toFixed(3)}, waited ${p50 ?? 0}/${p90 ?? 0} ms`;
  });
  const errors = listReturnErrors(callers);
  const quantiles = [10, 50, 90].map((percent) => Math.round(findPercentile(errors, percent)));
  const refused = callers.reduce((sum, { refusals }) => sum + refusals, 0);
  const refusedReturns = callers.reduce((sum, caller) => sum + caller.refusedReturns, 0);
  return `${waits.join('; ')}; refusals ${refused}, of returns ${refusedReturns}; served after announced ${quantiles.join('/')} ms`;
}

const SEEDS = [1, 2, 3, 4, 5] as const;
const LATE_SEED = 1;

for (const seed of SEEDS) {
  test(`serves the most urgent callers through both bursts, seed ${seed}`, (context) => {
    const callers = play('room', seed);
    const baseline = play('baseline', seed);
    context.diagnostic(`room: ${describe(callers)}`);
    context.diagnostic(`baseline: ${describe(baseline)}`);
    const ofPriority = (list: readonly Caller[], priority: number): Caller[] =>
      list.filter((caller) => caller.priority === priority);
    const urgent = ofPriority(callers, 0);
    assert.ok(computeInTime(urgent) > computeInTime(ofPriority(baseline, 0)));
    assert.ok(computeInTime(urgent) >= 0.95, `in time: ${computeInTime(urgent)}`);
    const means = [0, 1, 2].map((priority) =>
      computeMean(listWaits(ofPriority(callers, priority))),
    );
    assert.deepEqual(
      means,
      [...means].sort((left, right) => left - right),
    );
  });

  test(`gives small accounts no longer waits than the large one, seed ${seed}`, () => {
    const leastUrgent = play('room', seed).filter(({ priority }) => priority === 2);
    const ofLarge = leastUrgent.filter(({ account }) => account === LARGE_ACCOUNT);
    const ofSmall = leastUrgent.filter(({ account }) => account !== LARGE_ACCOUNT);
    assert.ok(computeMean(listWaits(ofSmall)) <= computeMean(listWaits(ofLarge)));
  });

  test(`refuses a request at once or within half of its remaining deadline, seed ${seed}`, () => {
    for (const caller of play('room', seed)) {
      assert.ok(caller.longestHeldMilliseconds <= DEADLINE_MILLISECONDS / 2 + ROUND_MILLISECONDS);
      const isAnswered = caller.startedAt !== undefined || caller.refusals > 0;
      assert.ok(isAnswered, `request ${caller.id} has no answer`);
    }
  });

  test(`serves refused callers about when they were told to return, seed ${seed}`, (context) => {
    const callers = play('room', seed, SHORT_ATTEMPTS);
    const baseline = play('baseline', seed, SHORT_ATTEMPTS);
    context.diagnostic(`room: ${describe(callers)}`);
    context.diagnostic(`baseline: ${describe(baseline)}`);
    const errors = listReturnErrors(callers);
    const [early, middle] = [10, 50].map((percent) => findPercentile(errors, percent));
    const baselineMiddle = findPercentile(listReturnErrors(baseline), 50);
    assert.ok((early ?? 0) >= 0);
    // The objective of the least urgent requests.
    assert.ok(
      (middle ?? 0) <= OBJECTIVES[2],
      `half of the returns were later than ${middle ?? 0} ms`,
    );
    const countRefused = (list: readonly Caller[]): number =>
      list.reduce((sum, { refusedReturns }) => sum + refusedReturns, 0);
    assert.ok(4 * countRefused(callers) <= countRefused(baseline));
    context.diagnostic(`half of the baseline's returns were later than ${baselineMiddle} ms`);
  });

  test(
    `serves nine in ten refused callers within one further attempt of what they were told, seed ${seed}`,
    { todo: 'an urgent burst that nobody foresees delays the returns; KNOWN-RED.txt' },
    () => {
      const late = findPercentile(listReturnErrors(play('room', seed, SHORT_ATTEMPTS)), 90);
      assert.ok(late <= SHORT_ATTEMPTS.attemptMilliseconds, `a tenth later than ${late} ms`);
    },
  );

  test(
    `serves refused callers when told where no urgent burst intervenes, seed ${seed}`,
    { todo: seed === LATE_SEED ? 'eight returns are refused again; KNOWN-RED.txt' : false },
    (context) => {
      const callers = play('room', seed, { ...SHORT_ATTEMPTS, hasUrgentBurst: false });
      context.diagnostic(`room: ${describe(callers)}`);
      const errors = listReturnErrors(callers);
      const [early, middle, late] = [10, 50, 90].map((percent) => findPercentile(errors, percent));
      assert.ok((early ?? 0) >= 0);
      assert.ok((middle ?? 0) <= OBJECTIVES[0], `half later than ${middle ?? 0} ms`);
      assert.ok((late ?? 0) <= OBJECTIVES[2], `a tenth later than ${late ?? 0} ms`);
    },
  );
}
