/**
 * Running streams on paths of several engines: what callers get when a later engine is lost.
 */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { after, before, test } from 'node:test';
import {
  serveSiteEndpoint,
  writeEvents,
  type Behaviour,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  call,
  createWireConfiguration,
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

const WHOLE_STREAM = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: t${id}\n\n`).join('');
const LAST_EVENT = 4;
/** Accelerators that hold half of the layers, so that a path takes two engines. */
const SMALL_ENGINE = {
  ...ENGINE,
  types: [{ name: 'large', size_mb: 250, pace: 1, read_factor: 1 }],
};

interface Held {
  readonly request: ReceivedRequest;
  readonly response: ServerResponse;
  readonly endpoint: SiteEndpoint;
}

let store: SiteStore;
let node: TestNode;
let engines: SiteEndpoint[];
const held: Held[] = [];

/** Writes two events and then waits in vain for the second engine of its path. */
const stallAtSecondHop: Behaviour = (request, response, endpoint) => {
  writeEvents(request, response, 2);
  held.push({ request, response, endpoint });
  endpoint.stalled = [listHops(request)[1] ?? ''];
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

/** Waits until no engine is believed to be lost any more. */
function forgetLost(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 3_300));
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  engines = await Promise.all(
    [1, 2, 3, 4].map((number) =>
      serveSiteEndpoint({ id: `engine-${number}`, behave: stallAtSecondHop }),
    ),
  );
  for (const engine of engines) registerEndpoint(store, engine, MODEL_SERVICE);
  const services = [{ name: PLAIN_SERVICE }, { name: MODEL_SERVICE, engine: SMALL_ENGINE }];
  store.put('op/config', createWireConfiguration(1, { services }));
  await waitUntilReady(node);
  await waitFor('each half of the layers is held twice', () =>
    [0, 2].every(
      (layer) =>
        engines.filter(({ layers }) => layers && layers.from <= layer && layer < layers.to)
          .length >= 2,
    ),
  );
  // The node learns of the layers from the engines' reports.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
});

after(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(engines.map((engine) => engine.crash()));
});

test('a stream whose second engine stalls is moved, and its caller gets each event once', async () => {
  held.length = 0;
  const asked = call({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
  await waitFor('the first engine was told to move the stream', () =>
    held.some(({ endpoint }) => listMoves(endpoint).length > 0),
  );
  const [run] = held;
  assert.ok(run);
  const { request, response, endpoint } = run;
  const [move] = listMoves(endpoint);
  assert.equal(move?.id, 'attempt-1');
  const [first, second] = listHops(request);
  const moved = move.path.split(',').map((hop) => hop.split('=')[0]);
  assert.equal(moved[0], first);
  assert.notEqual(moved[1], second);
  endpoint.stalled = [];
  for (let id = 3; id <= LAST_EVENT; id += 1) response.write(`id: ${id}\ndata: t${id}\n\n`);
  response.end();
  const answer = await asked;
  assert.equal(answer.body, WHOLE_STREAM);
  assert.ok(answer.isWhole);
  assert.equal(held.length, 1, 'no second run');
});

test('a stream that its first engine cannot move runs anew after its last event', async () => {
  await forgetLost();
  held.length = 0;
  for (const engine of engines) {
    engine.refusesMoves = true;
    engine.behave = (request, response, endpoint) => {
      if (held.length === 0) {
        stallAtSecondHop(request, response, endpoint);
        return;
      }
      writeEvents(request, response, LAST_EVENT);
      response.end();
    };
  }
  const answer = await call({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
  assert.equal(answer.body, WHOLE_STREAM);
  assert.ok(answer.isWhole);
  assert.equal(held.length, 1);
  assert.ok(held[0]?.request.wasCut, 'the stalled run was ended');
});

test('a run without a first event is replaced elsewhere before its caller goes', async () => {
  await forgetLost();
  held.length = 0;
  for (const engine of engines) {
    engine.stalled = [];
    engine.behave = (request, response, endpoint) => {
      held.push({ request, response, endpoint });
      if (held.length === 1) return;
      writeEvents(request, response, LAST_EVENT);
      response.end();
    };
  }
  const answer = await call({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    headers: { 'Deadline-Ms': '3000' },
  });
  assert.equal(answer.body, WHOLE_STREAM);
  assert.equal(held.length, 2);
  assert.notEqual(held[0]?.endpoint, held[1]?.endpoint);
});

test('a caller that stops reading holds up the engine, and then gets the whole answer', async () => {
  await forgetLost();
  const events = 3_000;
  const data = 'x'.repeat(16_384);
  let written = 0;
  for (const engine of engines) {
    engine.stalled = [];
    engine.behave = (request, response) => {
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
  const asked = call({
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
  await waitFor('the engine is held up', async () => {
    const isHeldUp = written === before && written > 0;
    before = written;
    await new Promise((resolve) => setTimeout(resolve, 200));
    return isHeldUp;
  });
  assert.ok(written < events, `${written} events were taken from the engine`);
  resume();
  const answer = await asked;
  assert.ok(answer.isWhole);
  assert.equal(received, answer.body.length);
  assert.equal(answer.body.match(/^id: /gm)?.length, events);
});
