/**
 * Guards against requests that are served out of order, places that are never given back, places given to requests that
 * cannot be served while their callers benefit, and requests that wait without ever getting an answer.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { RoomFacts } from '../forecastRoom/index.js';
import { createWaitingRoom, type WaitingRequest } from './index.js';

const TOKENS = 900;
/** Runs of one node that end one after the other, each 100 ms after the one before. */
const FACTS: RoomFacts = {
  free: { requests: 0, tokens: 0 },
  running: Array.from({ length: 20 }, (_, index) => ({
    remainingEvents: index + 1,
    paceMilliseconds: 100,
    tokens: TOKENS,
  })),
  others: { requests: 0, tokens: 0 },
  loadAgeMilliseconds: 0,
  stayMilliseconds: 2_000,
  nodes: 1,
  permitWaitMilliseconds: 0,
};

function createRequest(id: string, changes: Partial<WaitingRequest> = {}): WaitingRequest {
  return {
    id,
    account: 'kiosk',
    priority: 1,
    tokens: TOKENS,
    bytes: 1_000,
    returnKey: id,
    isReturn: false,
    arrivedAt: 0,
    objectiveMilliseconds: 500,
    deadlineAt: 20_000,
    ...changes,
  };
}

function createRoom(changes: Partial<Parameters<typeof createWaitingRoom>[0]> = {}) {
  return createWaitingRoom<WaitingRequest>({
    readFacts: () => FACTS,
    mayRun: () => true,
    isLoadKnown: () => true,
    ...changes,
  });
}

function admitAll(room: ReturnType<typeof createRoom>): string[] {
  const ids: string[] = [];
  for (;;) {
    const request = room.admitNext(0);
    if (!request) return ids;
    ids.push(request.id);
  }
}

test('serves the most urgent first, within a priority accounts in turn, and returns before first attempts', () => {
  const room = createRoom();
  for (const id of ['a1', 'a2', 'a3']) room.offer(createRequest(id, { account: 'large' }), 0);
  room.offer(createRequest('b1', { account: 'small' }), 0);
  room.offer(createRequest('r1', { account: 'large', isReturn: true }), 0);
  room.offer(createRequest('u1', { account: 'large', priority: 0 }), 0);
  assert.deepEqual(admitAll(room), ['u1', 'r1', 'a1', 'b1', 'a2', 'a3']);
});

test('refuses at once what is not served within half of the remaining deadline, with the time of its turn', () => {
  const room = createRoom();
  // Ten requests are served within 1 s, which is half of 2 s.
  const answers = Array.from({ length: 12 }, (_, index) =>
    room.offer(createRequest(`${index}`, { deadlineAt: 2_010 }), 0),
  );
  const waiting = answers.filter(({ kind }) => kind === 'wait').length;
  assert.equal(waiting, 10);
  const times = answers.flatMap((answer) =>
    answer.kind === 'refuse' ? [Math.round(answer.retryAfterMilliseconds / 100)] : [],
  );
  assert.deepEqual(times, [11, 12]);
});

test('lets a request wait no longer than its objective while the load of other nodes is unknown', () => {
  const room = createRoom({ isLoadKnown: () => false });
  const kinds = Array.from(
    { length: 6 },
    (_, index) => room.offer(createRequest(`${index}`, { objectiveMilliseconds: 401 }), 0).kind,
  );
  assert.deepEqual(kinds, ['wait', 'wait', 'wait', 'wait', 'refuse', 'refuse']);
});

test('answers that a request may run where capacity is free and nobody waits before it', () => {
  const room = createRoom({
    readFacts: () => ({ ...FACTS, free: { requests: 1, tokens: TOKENS } }),
  });
  assert.equal(room.offer(createRequest('a'), 0).kind, 'run');
  assert.equal(room.size(), 0);
});

test('gives the place of the least urgent request to a more urgent one when it is full', () => {
  const room = createRoom({ maximumRequests: 2 });
  room.offer(createRequest('a', { priority: 2 }), 0);
  room.offer(createRequest('b', { priority: 2 }), 0);
  assert.equal(room.offer(createRequest('c', { priority: 2 }), 0).kind, 'refuse');
  assert.equal(room.offer(createRequest('d', { priority: 0 }), 0).kind, 'wait');
  assert.deepEqual(
    room.removeLate(0).map(({ request }) => request.id),
    ['b'],
  );
  assert.deepEqual(admitAll(room), ['d', 'a']);
});

test('refuses a waiting request as soon as more urgent ones take the capacity it would be served with', () => {
  const room = createRoom();
  const last = createRequest('last', { priority: 2, deadlineAt: 1_010 });
  assert.equal(room.offer(last, 0).kind, 'wait');
  for (let index = 0; index < 8; index += 1) {
    room.offer(createRequest(`${index}`, { priority: 0 }), 0);
  }
  const [removed] = room.removeLate(0);
  assert.equal(removed?.request.id, 'last');
  assert.equal(Math.round(removed.retryAfterMilliseconds / 100), 9);
});

test('recognises a return when it is due, once, and for a short while only', () => {
  const room = createRoom();
  const request = createRequest('a', { deadlineAt: 100 });
  const answer = room.offer({ ...request, objectiveMilliseconds: 50 }, 0);
  assert.ok(answer.kind === 'refuse');
  const at = answer.retryAfterMilliseconds;
  assert.equal(room.recordArrival(createRequest('a'), at - 60), undefined);
  assert.equal(room.recordArrival(createRequest('b'), at), undefined);
  assert.equal(room.recordArrival(createRequest('a'), at + 100), at);
  assert.equal(room.recordArrival(createRequest('a'), at + 100), undefined);
  room.offer({ ...request, objectiveMilliseconds: 50 }, 0);
  assert.equal(room.recordArrival(createRequest('a'), at + 900), undefined);
});

test('keeps bounds, order and an answer for each request in any play', () => {
  const drawnRequest = fc.record({
    account: fc.constantFrom('a', 'b', 'c'),
    priority: fc.integer({ min: 0, max: 2 }),
    tokens: fc.integer({ min: 200, max: 1_500 }),
    bytes: fc.integer({ min: 0, max: 900 }),
    gap: fc.integer({ min: 0, max: 120 }),
    lifetime: fc.integer({ min: 50, max: 3_000 }),
    objectiveMilliseconds: fc.integer({ min: 20, max: 600 }),
    step: fc.constantFrom('none', 'admit', 'late', 'leave'),
  });
  fc.assert(
    fc.property(fc.array(drawnRequest, { maxLength: 60 }), (drawn) => {
      const maximumRequests = 12;
      const maximumBytes = 5_000;
      const room = createRoom({ maximumRequests, maximumBytes });
      /** Requests with a place, as the naive counterpart: a list that is searched. */
      const waiting = new Map<string, WaitingRequest>();
      let now = 0;
      const removeLate = (): void => {
        for (const { request, retryAfterMilliseconds } of room.removeLate(now)) {
          assert.ok(waiting.delete(request.id));
          assert.ok(retryAfterMilliseconds >= 0 && retryAfterMilliseconds <= 30_000);
        }
      };
      drawn.forEach(({ gap, lifetime, step, ...changes }, index) => {
        now += gap;
        const times = { arrivedAt: now, deadlineAt: now + lifetime };
        const request = createRequest(`${index}`, { ...changes, ...times });
        if (room.offer(request, now).kind === 'wait') waiting.set(request.id, request);
        removeLate();
        if (step === 'admit') {
          const admitted = room.admitNext(now);
          const urgent = Math.min(...[...waiting.values()].map(({ priority }) => priority));
          assert.equal(admitted?.priority, waiting.size > 0 ? urgent : undefined);
          if (admitted) assert.ok(waiting.delete(admitted.id));
        }
        if (step === 'leave') {
          const [id = 'none'] = waiting.keys();
          assert.equal(room.leave(id), waiting.delete(id));
        }
        assert.equal(room.size(), waiting.size);
        assert.ok(room.size() <= maximumRequests);
        const bytes = [...waiting.values()].reduce((sum, held) => sum + held.bytes, 0);
        assert.ok(bytes <= maximumBytes);
        for (const { arrivedAt, objectiveMilliseconds, deadlineAt } of waiting.values()) {
          const half = arrivedAt + (deadlineAt - arrivedAt) / 2;
          assert.ok(now < Math.max(half, arrivedAt + objectiveMilliseconds));
        }
      });
      now += 3_000;
      removeLate();
      assert.equal(waiting.size + room.size(), 0);
    }),
    { seed: 61, numRuns: 200 },
  );
});
