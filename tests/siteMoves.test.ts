/**
 * Streams on paths of several engines. Guards against lost or repeated events when a later engine
 * of the path stalls, and against unbounded buffering for a caller that stops reading.
 */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { after, before, test } from 'node:test';
import {
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  sendCallerRequest,
  createPlatformConfiguration,
  ENGINE,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type TestNode,
} from './support/siteNodes/index.js';

const COMPLETE_STREAM = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: t${id}\n\n`).join('');
const LAST_EVENT = 4;
/**
 * Engine whose accelerators have memory for half of the layers, so that a path needs two engines.
 */
const SMALL_ENGINE = {
  ...ENGINE,
  types: [{ name: 'large', size_mb: 250, pace: 1, read_factor: 1 }],
};

interface StalledRun {
  readonly request: ReceivedRequest;
  readonly response: ServerResponse;
  readonly endpoint: SiteEndpoint;
}

let store: SiteStore;
let node: TestNode;
let engines: SiteEndpoint[];
const stalledRuns: StalledRun[] = [];

/** Writes two events and then reports the second engine of its path as stalled. */
const stallAtSecondHop: EndpointHandler = (request, response, endpoint) => {
  writeEvents(request, response, 2);
  stalledRuns.push({ request, response, endpoint });
  endpoint.stalledAddresses = [listHops(request)[1] ?? ''];
};

function listHops({ headers }: ReceivedRequest): string[] {
  return String(headers['hop-count'])
    .split(',')
    .map((hop) => hop.split('=')[0] ?? '');
}

function listMoves({ orders }: SiteEndpoint): { id: string; path: string }[] {
  return orders.filter(
    (order): order is { op: string; id: string; path: string } =>
      (order as { op: string }).op === 'repath',
  );
}

/** Waits until the node no longer marks any engine as unreachable. */
function waitUntilLostMarksExpire(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 3_300));
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  engines = await Promise.all(
    [1, 2, 3, 4].map((number) =>
      serveSiteEndpoint({ id: `engine-${number}`, handle: stallAtSecondHop }),
    ),
  );
  for (const engine of engines) registerEndpoint(store, engine, MODEL_SERVICE);
  const services = [{ name: PLAIN_SERVICE }, { name: MODEL_SERVICE, engine: SMALL_ENGINE }];
  store.put('op/config', createPlatformConfiguration(1, { services }));
  await waitUntilReady(node);
  await waitFor('each half of the layers is hosted by two engines', () =>
    [0, 2].every(
      (layer) =>
        engines.filter(({ layers }) => layers && layers.from <= layer && layer < layers.to)
          .length >= 2,
    ),
  );
  // The node reads the hosted layers from the engines' load reports.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
});

after(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(engines.map((engine) => engine.crash()));
});

test('migrates a stream whose second engine stalls, and delivers each event once', async () => {
  stalledRuns.length = 0;
  const pending = sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
  });
  await waitFor('the first engine received the order to migrate the stream', () =>
    stalledRuns.some(({ endpoint }) => listMoves(endpoint).length > 0),
  );
  const [run] = stalledRuns;
  assert.ok(run);
  const { request, response, endpoint } = run;
  const [move] = listMoves(endpoint);
  assert.equal(move?.id, 'attempt-1');
  const [first, second] = listHops(request);
  const moved = move.path.split(',').map((hop) => hop.split('=')[0]);
  assert.equal(moved[0], first);
  assert.notEqual(moved[1], second);
  endpoint.stalledAddresses = [];
  for (let id = 3; id <= LAST_EVENT; id += 1) response.write(`id: ${id}\ndata: t${id}\n\n`);
  response.end();
  const callerResponse = await pending;
  assert.equal(callerResponse.body, COMPLETE_STREAM);
  assert.ok(callerResponse.isComplete);
  assert.equal(stalledRuns.length, 1, 'the stream was not restarted');
});

test('restarts a stream after its last event when its first engine refuses to migrate it', async () => {
  await waitUntilLostMarksExpire();
  stalledRuns.length = 0;
  for (const engine of engines) {
    engine.refusesMoves = true;
    engine.handle = (request, response, endpoint) => {
      if (stalledRuns.length === 0) {
        stallAtSecondHop(request, response, endpoint);
        return;
      }
      writeEvents(request, response, LAST_EVENT);
      response.end();
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
  });
  assert.equal(callerResponse.body, COMPLETE_STREAM);
  assert.ok(callerResponse.isComplete);
  assert.equal(stalledRuns.length, 1);
  // The stalled run stays open until the other one delivers an event.
  await waitFor('the stalled run was cancelled', () => stalledRuns[0]?.request.wasAborted === true);
});

test('restarts a run without a first event at another engine before its deadline', async () => {
  await waitUntilLostMarksExpire();
  stalledRuns.length = 0;
  for (const engine of engines) {
    engine.stalledAddresses = [];
    engine.handle = (request, response, endpoint) => {
      stalledRuns.push({ request, response, endpoint });
      if (stalledRuns.length === 1) return;
      writeEvents(request, response, LAST_EVENT);
      response.end();
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    headers: { 'Deadline-Ms': '3000' },
  });
  assert.equal(callerResponse.body, COMPLETE_STREAM);
  assert.equal(stalledRuns.length, 2);
  assert.notEqual(stalledRuns[0]?.endpoint, stalledRuns[1]?.endpoint);
});

test('a caller that stops reading pauses the engine, and receives the complete response later', async () => {
  await waitUntilLostMarksExpire();
  const events = 3_000;
  const data = 'x'.repeat(16_384);
  let written = 0;
  for (const engine of engines) {
    engine.stalledAddresses = [];
    engine.handle = (request, response) => {
      writeEvents(request, response, 0);
      const write = (): void => {
        while (written < events) {
          written += 1;
          if (!response.write(`id: ${written}\ndata: ${data}\n\n`)) {
            response.once('drain', write);
            return;
          }
        }
        response.end();
      };
      write();
    };
  }
  let resume = (): void => undefined;
  let received = 0;
  const pending = sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    onStart: (incoming) => {
      incoming.pause();
      resume = () => incoming.resume();
    },
    onData: (text) => {
      received = text.length;
    },
  });
  let before = -1;
  await waitFor('the engine is paused by back pressure', async () => {
    const isPaused = written === before && written > 0;
    before = written;
    await new Promise((resolve) => setTimeout(resolve, 200));
    return isPaused;
  });
  assert.ok(written < events, `the engine wrote ${written} events without back pressure`);
  resume();
  const callerResponse = await pending;
  assert.ok(callerResponse.isComplete);
  assert.equal(received, callerResponse.body.length);
  assert.equal(callerResponse.body.match(/^id: /gm)?.length, events);
});
