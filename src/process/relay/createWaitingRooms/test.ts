/**
 * Guards against requests that never get an answer: because their caller has left, the node stops, all endpoints are
 * lost or the load of other nodes is unknown.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAST_ACCELERATOR,
  LAYERED_MODEL,
  NO_PERMITS,
  createEndpointRecord,
  createRoute,
} from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { ChosenPath } from '../../../request/choosePath/index.js';
import { createRelayMetrics } from '../createRelayMetrics/index.js';
import { createStopSignal } from '../createStopSignal/index.js';
import type { RelayedRequest } from '../types/index.js';
import { createWaitingRooms } from './index.js';

const PATH: ChosenPath = { hops: [], firstEventMilliseconds: 100, pauseMilliseconds: 40 };
const SIZE = { promptTokens: 700, answerTokens: 40, roomTokens: 724 };
const SERVICE = { name: 'assistant', healthPath: '/', maximumConnections: 1, model: LAYERED_MODEL };
/** Time for which runs of the test last: ten events of four tokens, each after 40 ms. */
const RUN_MILLISECONDS = 400;

const noTimer = () => () => undefined;

/** Creates the rooms of a node that runs one request, and whose endpoints have no free path. */
function createCase() {
  let now = 0;
  let hasPath = false;
  let loadAge = 100;
  const endpoints = createEndpointTable();
  const place = { kind: FAST_ACCELERATOR.name, layers: { from: 0, to: 80 } };
  endpoints.update('i-1', createEndpointRecord({ service: 'assistant', ...place }), 0);
  const stopSignal = createStopSignal(assert.ifError);
  const rooms = createWaitingRooms({
    clock: { now: () => now, schedule: noTimer, scheduleAfterReads: noTimer },
    endpoints,
    metrics: createRelayMetrics(),
    permits: NO_PERMITS,
    stopSignal,
    countNodes: () => 2,
    readLoadAge: () => loadAge,
    getPriorities: () => new Map([['assistant', [0, 2]]]),
  });
  const createRequest = (changes: Partial<RelayedRequest> = {}): RelayedRequest =>
    ({
      caller: { attempt: 'a', promptParts: ['p1'] },
      forwarded: { body: undefined },
      route: createRoute({ kind: 'stream', objectiveMilliseconds: 500 }),
      service: SERVICE,
      account: 'kiosk',
      priority: 3,
      arrivedAt: now,
      deadlineAt: now + 20_000,
      isHandedOver: false,
      ...changes,
    }) as unknown as RelayedRequest;
  const begin = { size: SIZE, pauseMilliseconds: 40, countEvents: () => 0 };
  const endRun = rooms.beginRun(createRequest(), begin);
  const startWait = (changes: Partial<RelayedRequest> = {}) => {
    const controller = new AbortController();
    let result: Awaited<ReturnType<typeof rooms.wait>> | undefined;
    const findPath = (): ChosenPath | undefined => {
      const found = hasPath ? PATH : undefined;
      hasPath = false;
      return found;
    };
    const { signal } = controller;
    const request = createRequest(changes);
    const promise = rooms.wait(request, { size: SIZE, findPath, signal }).then((settled) => {
      result = settled;
    });
    return {
      promise,
      leave: () => {
        controller.abort();
      },
      getResult: () => result,
    };
  };
  return {
    rooms,
    endpoints,
    stopSignal,
    startWait,
    endRun: () => {
      hasPath = true;
      endRun();
    },
    passTime: (milliseconds: number) => {
      now += milliseconds;
    },
    setLoadAge: (milliseconds: number) => {
      loadAge = milliseconds;
    },
  };
}

test('gives the path to the most urgent request when a run ends', async () => {
  const { rooms, startWait, endRun, passTime } = createCase();
  const late = startWait({ priority: 3 });
  const urgent = startWait({ priority: 1 });
  assert.deepEqual(
    rooms.listWaiting().map(({ priority }) => priority),
    [1, 3],
  );
  passTime(RUN_MILLISECONDS);
  endRun();
  await urgent.promise;
  assert.equal(urgent.getResult(), PATH);
  assert.equal(late.getResult(), undefined);
});

test('frees the place of a caller that leaves while it waits', async () => {
  const { rooms, startWait } = createCase();
  const { promise, leave } = startWait();
  assert.equal(rooms.listWaiting().length, 1);
  leave();
  await promise;
  assert.deepEqual(rooms.listWaiting(), []);
});

test('ends all waits when the node stops, and begins none after that', async () => {
  const { rooms, startWait, stopSignal } = createCase();
  const waits = [startWait(), startWait()];
  stopSignal.raise();
  await Promise.all(waits.map(({ promise }) => promise));
  assert.deepEqual(rooms.listWaiting(), []);
  const later = startWait();
  await later.promise;
  assert.deepEqual(later.getResult(), { retryAfterMilliseconds: undefined });
});

test('refuses at once where no usable endpoint hosts the layers', async () => {
  const { endpoints, startWait } = createCase();
  endpoints.update('i-1', undefined, 0);
  const { promise, getResult } = startWait();
  await promise;
  assert.deepEqual(getResult(), { retryAfterMilliseconds: undefined });
});

test('refuses what is not served within its objective while the load is unknown', async () => {
  const { startWait, setLoadAge } = createCase();
  setLoadAge(9_000);
  const first = startWait();
  const second = startWait();
  await second.promise;
  assert.equal(first.getResult(), undefined);
  const result = second.getResult();
  assert.ok(result && 'retryAfterMilliseconds' in result);
  assert.ok((result.retryAfterMilliseconds ?? 0) > RUN_MILLISECONDS);
});

test('refuses at half of the remaining deadline where the forecast was wrong', async () => {
  const { rooms, startWait, passTime } = createCase();
  const { promise, getResult } = startWait({ deadlineAt: 2_000 });
  passTime(550);
  rooms.step();
  await Promise.resolve();
  assert.equal(getResult(), undefined);
  passTime(450);
  rooms.step();
  await promise;
  assert.ok('retryAfterMilliseconds' in (getResult() ?? {}));
});

test('keeps the places of others while an admitted request has not begun its run', async () => {
  const { rooms, startWait, endRun } = createCase();
  const first = startWait();
  const second = startWait();
  endRun();
  await first.promise;
  rooms.step();
  assert.equal(second.getResult(), undefined);
  assert.equal(rooms.listWaiting().length, 1);
});
