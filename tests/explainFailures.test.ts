/**
 * From the id of a failed request to its cause, in the logs of two nodes.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { explainRequest, type RequestEventLine } from '../src/request/explainRequest/index.js';
import {
  createSeal,
  serveSiteEndpoint,
  writeEvents,
  type Behaviour,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  call,
  createWireConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type CallerAnswer,
  type TestNode,
} from './support/siteNodes/index.js';

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let booking: SiteEndpoint;
let engine: SiteEndpoint;

const answerWhole: Behaviour = (request, response) => {
  response.writeHead(200, createSeal(request));
  response.end('done');
};
const streamWhole: Behaviour = (request, response) => {
  writeEvents(request, response, 3);
  response.end();
};

function ask(
  path: string,
  attempt: string,
  onData?: (text: string) => void,
): Promise<CallerAnswer> {
  const headers = { 'Attempt-Id': attempt, 'Deadline-Ms': '1500' };
  return call({ address: node.callers, path, method: 'POST', body: 'q', headers, onData });
}

/** The story as an engineer gets it: from the logs of both nodes, in no order. */
function explain(attempt: string): RequestEventLine[] {
  return explainRequest([...peer.logs, ...node.logs], attempt);
}

function find(
  story: readonly RequestEventLine[],
  event: string,
  details = '',
): RequestEventLine | undefined {
  return story.find((line) => line.event === event && line.details.includes(details));
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  booking = await serveSiteEndpoint({ id: 'plain-1', behave: answerWhole });
  engine = await serveSiteEndpoint({ id: 'engine-1', behave: streamWhole });
  registerEndpoint(store, booking, PLAIN_SERVICE);
  registerEndpoint(store, engine, MODEL_SERVICE);
  store.put('op/config', createWireConfiguration(1));
  await Promise.all([waitUntilReady(node), waitUntilReady(peer)]);
  await waitFor('the engine holds its layers', () =>
    [node, peer].some(({ logs }) => logs.some((line) => line.includes('order-done'))),
  );
  await waitFor('a stream is served', async () => (await ask('/ask/', 'warm')).status === 200);
});

after(async () => {
  await Promise.all([node.node.leave(), peer.node.leave()]);
  await store.close();
  await Promise.all([booking.crash(), engine.crash()]);
});

test('a booking with unknown outcome leads to the endpoint that broke off, and its later leaving', async () => {
  booking.behave = (_, response) => {
    response.destroy();
  };
  const answer = await ask('/book/', 'booking-1');
  assert.equal(answer.status, 502);
  store.remove('servers/plain-1');
  await waitFor('both nodes saw the endpoint leave', () =>
    [node, peer].every(({ logs }) =>
      logs.some((line) => line.includes('endpoint-gone') && line.includes('plain-1')),
    ),
  );
  const story = explain('booking-1');
  assert.ok(find(story, 'request-admitted', 'route=book'));
  assert.ok(find(story, 'endpoint-chosen', 'endpoint=plain-1'));
  assert.ok(find(story, 'attempt-failed', 'outcome=unknown'));
  assert.ok(find(story, 'request-failed', 'sends=1'));
  const causes = story.filter(({ event }) => event === 'endpoint-gone');
  assert.deepEqual([...new Set(causes.map((line) => line.node))].sort(), ['node-1', 'node-2']);
});

test('a stream cut in its middle leads to the engine that was lost, as both nodes saw it', async () => {
  let breakOff = (): void => undefined;
  engine.behave = (request, response) => {
    writeEvents(request, response, 2);
    breakOff = () => {
      response.destroy();
      void engine.crash();
    };
  };
  const answer = await ask('/ask/', 'stream-1', (text) => {
    if (text.includes('id: 2')) breakOff();
  });
  assert.equal(answer.isWhole, false);
  await waitFor('both nodes know that the engine is lost', () =>
    [node, peer].every(({ logs }) =>
      logs.some((line) => line.includes('endpoint-lost') && line.includes('engine-1')),
    ),
  );
  const story = explain('stream-1');
  assert.ok(find(story, 'path-chosen', 'engine-1=0-4'));
  assert.ok(find(story, 'first-event'));
  assert.ok(find(story, 'run-broken', 'lastEvent=2'));
  assert.ok(find(story, 'request-failed', 'code=interrupted'));
  const causes = story.filter(({ event }) => event === 'endpoint-lost');
  assert.deepEqual([...new Set(causes.map((line) => line.node))].sort(), ['node-1', 'node-2']);
});

test('a request refused though endpoints are idle leads to the layers that nobody holds, and why', async () => {
  const idle = await serveSiteEndpoint({ id: 'engine-2', behave: streamWhole });
  // It takes orders and never carries them out, so that it stays idle and empty.
  idle.ignoresOrders = true;
  registerEndpoint(store, idle, MODEL_SERVICE);
  await waitFor('the idle engine was ordered to hold the layers', () => idle.orders.length > 0);
  const answer = await ask('/ask/', 'refused-1');
  assert.equal(answer.status, 503);
  assert.ok(answer.headers['retry-after']);
  const story = explain('refused-1');
  assert.ok(find(story, 'path-missing', 'uncovered=0-4'));
  assert.ok(find(story, 'request-failed', 'code=overloaded'));
  const lost = story.filter(({ event }) => event === 'endpoint-lost' || event === 'order-sent');
  assert.ok(lost.length > 0, 'what nodes did about the layers is part of the story');
  await idle.crash();
});
