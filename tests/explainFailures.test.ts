/**
 * The explain command on the logs of two nodes. Guards against failed requests whose cause cannot
 * be found from their identifier.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { explainRequest, type RequestEventLine } from '../src/request/explainRequest/index.js';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  sendCallerRequest,
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let booking: SiteEndpoint;
let engine: SiteEndpoint;

const respondCompletely: EndpointHandler = (request, response) => {
  response.writeHead(200, createEndpointHeaders(request));
  response.end('done');
};
const streamCompletely: EndpointHandler = (request, response) => {
  writeEvents(request, response, 3);
  response.end();
};

function sendPost(
  path: string,
  attempt: string,
  onData?: (text: string) => void,
): Promise<CallerResponse> {
  const headers = { 'Attempt-Id': attempt, 'Deadline-Ms': '1500' };
  return sendCallerRequest({
    address: node.callers,
    path,
    method: 'POST',
    body: 'q',
    headers,
    onData,
  });
}

/** Returns the events of a request as explain lists them, from the unsorted logs of both nodes. */
function explain(attempt: string): RequestEventLine[] {
  return explainRequest([...peer.logs, ...node.logs], attempt);
}

function findLine(
  lines: readonly RequestEventLine[],
  event: string,
  details = '',
): RequestEventLine | undefined {
  return lines.find((line) => line.event === event && line.details.includes(details));
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  booking = await serveSiteEndpoint({ id: 'plain-1', handle: respondCompletely });
  engine = await serveSiteEndpoint({ id: 'engine-1', handle: streamCompletely });
  registerEndpoint(store, booking, PLAIN_SERVICE);
  registerEndpoint(store, engine, MODEL_SERVICE);
  store.put('op/config', createPlatformConfiguration(1));
  await Promise.all([waitUntilReady(node), waitUntilReady(peer)]);
  await waitFor('the engine hosts its layers', () =>
    [node, peer].some(({ logs }) => logs.some((line) => line.includes('order-done'))),
  );
  await waitFor('a stream is served', async () => (await sendPost('/ask/', 'warm')).status === 200);
});

after(async () => {
  await Promise.all([node.node.leave(), peer.node.leave()]);
  await store.close();
  await Promise.all([booking.crash(), engine.crash()]);
});

test('explains a booking with an unknown outcome by the failed endpoint and its deregistration', async () => {
  booking.handle = (_, response) => {
    response.destroy();
  };
  const callerResponse = await sendPost('/book/', 'booking-1');
  assert.equal(callerResponse.status, 502);
  store.remove('servers/plain-1');
  await waitFor('both nodes logged the deregistration of the endpoint', () =>
    [node, peer].every(({ logs }) =>
      logs.some((line) => line.includes('endpoint-gone') && line.includes('plain-1')),
    ),
  );
  const lines = explain('booking-1');
  assert.ok(findLine(lines, 'request-admitted', 'route=book'));
  assert.ok(findLine(lines, 'endpoint-chosen', 'endpoint=plain-1'));
  assert.ok(findLine(lines, 'attempt-failed', 'outcome=unknown'));
  assert.ok(findLine(lines, 'request-failed', 'sends=1'));
  const causes = lines.filter(({ event }) => event === 'endpoint-gone');
  assert.deepEqual([...new Set(causes.map((line) => line.node))].sort(), ['node-1', 'node-2']);
});

test('explains an interrupted stream by the unreachable engine, as both nodes logged it', async () => {
  let cutStream = (): void => undefined;
  engine.handle = (request, response) => {
    writeEvents(request, response, 2);
    cutStream = () => {
      response.destroy();
      void engine.crash();
    };
  };
  const callerResponse = await sendPost('/ask/', 'stream-1', (text) => {
    if (text.includes('id: 2')) cutStream();
  });
  assert.equal(callerResponse.isComplete, false);
  await waitFor('both nodes have marked the engine as unreachable', () =>
    [node, peer].every(({ logs }) =>
      logs.some((line) => line.includes('endpoint-lost') && line.includes('engine-1')),
    ),
  );
  const lines = explain('stream-1');
  assert.ok(findLine(lines, 'path-chosen', 'engine-1=0-4'));
  assert.ok(findLine(lines, 'first-event'));
  assert.ok(findLine(lines, 'run-broken', 'lastEvent=2'));
  assert.ok(findLine(lines, 'request-failed', 'code=interrupted'));
  const causes = lines.filter(({ event }) => event === 'endpoint-lost');
  assert.deepEqual([...new Set(causes.map((line) => line.node))].sort(), ['node-1', 'node-2']);
});

test('explains a refusal while an endpoint is idle by the missing layers and their orders', async () => {
  const idleEngine = await serveSiteEndpoint({ id: 'engine-2', handle: streamCompletely });
  // It accepts orders without carrying them out, so that it stays idle and empty.
  idleEngine.ignoresOrders = true;
  registerEndpoint(store, idleEngine, MODEL_SERVICE);
  await waitFor(
    'the idle engine received the order to load the layers',
    () => idleEngine.orders.length > 0,
  );
  const response = await sendPost('/ask/', 'refused-1');
  assert.equal(response.status, 503);
  assert.ok(response.headers['retry-after']);
  const lines = explain('refused-1');
  assert.ok(findLine(lines, 'path-missing', 'uncovered=0-4'));
  assert.ok(findLine(lines, 'request-failed', 'code=overloaded'));
  const lost = lines.filter(({ event }) => event === 'endpoint-lost' || event === 'order-sent');
  assert.ok(
    lost.length > 0,
    'the listed events include what the nodes did about the missing layers',
  );
  await idleEngine.crash();
});
