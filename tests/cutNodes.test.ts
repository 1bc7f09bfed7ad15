/**
 * Nodes that lose their links to endpoints, while callers, the store and the other nodes reach them. Guards against
 * nodes that answer nothing although their neighbours reach every endpoint, and against neighbours that take over
 * the view of the nodes that are cut off.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { createSiteProtocol } from '../platform/createSiteProtocol/index.js';
import { createEndpointPort } from '../src/process/relay/createEndpointPort/index.js';
import {
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import { createLinkCut, type CutKind, type LinkCut } from './support/cutEndpointPort/index.js';
import {
  COMPLETE_STREAM,
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  STREAM_EVENT_COUNT,
  streamCompletely,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const NODE_COUNT = 4;
const ENGINE_COUNT = 5;
const PLAIN_COUNT = 3;
const REQUEST_INTERVAL_MILLISECONDS = 40;
/** Time in which nodes have to adapt to a cut. */
const CONTACT_MILLISECONDS = 3_000;
const COUNTED_MILLISECONDS = 2_000;
/** Pause in a stream that is open as the links are cut. */
const STREAM_PAUSE_MILLISECONDS = 800;
const ROUTES = ['/ask/', '/look/', '/book/'] as const;

/** Running node whose links to endpoints can be cut. */
interface CuttableNode {
  readonly node: TestNode;
  readonly links: LinkCut;
}

let store: SiteStore;
let nodes: CuttableNode[] = [];
let endpoints: SiteEndpoint[] = [];
let sent = 0;

async function startCuttableNode(name: string): Promise<CuttableNode> {
  const links = createLinkCut();
  const endpointPort = links.wrap(createEndpointPort(createSiteProtocol()));
  return { node: await startNode(name, store, { endpointPort }), links };
}

async function startEndpoints(): Promise<void> {
  const engines = await Promise.all(
    Array.from({ length: ENGINE_COUNT }, (_, index) =>
      serveSiteEndpoint({ id: `engine-${index + 1}`, handle: streamCompletely }),
    ),
  );
  const plain = await Promise.all(
    Array.from({ length: PLAIN_COUNT }, (_, index) =>
      serveSiteEndpoint({ id: `booking-${index + 1}`, handle: respondCompletely }),
    ),
  );
  for (const endpoint of engines) registerEndpoint(store, endpoint, MODEL_SERVICE);
  for (const endpoint of plain) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  endpoints = [...engines, ...plain];
  await Promise.all(nodes.map(({ node }) => waitUntilReady(node)));
  await waitFor('all engines host layers', () => engines.every(({ layers }) => layers));
  // The nodes learn the layers from the planner, and each other's state, in the next rounds.
  await new Promise((resolve) => setTimeout(resolve, 1_500));
}

/** Sends requests of each kind to a node for a time; returns the responses by path. */
async function sendRequests(
  { node }: CuttableNode,
  milliseconds: number,
): Promise<Map<string, CallerResponse[]>> {
  const pending: { path: string; response: Promise<CallerResponse> }[] = [];
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    const path = ROUTES[sent % ROUTES.length] ?? '/ask/';
    sent += 1;
    const headers = { 'Attempt-Id': `attempt-${sent}` };
    const request = { address: node.callers, path, method: 'POST', body: 'q', headers };
    pending.push({ path, response: sendCallerRequest(request) });
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  const responses = new Map<string, CallerResponse[]>();
  for (const { path, response } of pending)
    responses.set(path, [...(responses.get(path) ?? []), await response]);
  return responses;
}

function isServed(path: string, { status, body, isComplete }: CallerResponse): boolean {
  if (status !== 200 || !isComplete) return false;
  return path === '/ask/' ? body === COMPLETE_STREAM : body.startsWith('done by');
}

/** Asserts that at least a share of the requests of each kind was served. */
function assertServed(responses: Map<string, CallerResponse[]>, share: number): void {
  for (const [path, all] of responses) {
    const served = all.filter((response) => isServed(path, response)).length;
    assert.ok(served >= share * all.length, `${path}: ${served} of ${all.length} served`);
  }
}

function countLines({ node }: CuttableNode, event: string): number {
  return node.logs.filter((line) => line.includes(`"${event}"`)).length;
}

function hasLogged(node: CuttableNode, event: string): boolean {
  return countLines(node, event) > 0;
}

/** Responds with a complete stream that pauses after its second event. */
function streamInHalves(pauseMilliseconds: number): EndpointHandler {
  return (request, response) => {
    const received = Number(request.headers['last-event-id'] ?? 0);
    const middle = Math.max(received, 2);
    writeEvents(request, response, middle);
    setTimeout(
      () => {
        for (let id = middle + 1; id <= STREAM_EVENT_COUNT; id += 1)
          response.write(`id: ${id}\ndata: t${id}\n\n`);
        response.end();
      },
      received > 0 ? 0 : pauseMilliseconds,
    );
  };
}

beforeEach(async () => {
  store = await startStore();
  store.put('op/config', createPlatformConfiguration(1));
  const names = Array.from({ length: NODE_COUNT }, (_, index) => `node-${index + 1}`);
  nodes = await Promise.all(names.map(startCuttableNode));
  await startEndpoints();
});

afterEach(async () => {
  for (const { links } of nodes) links.end();
  await Promise.all(nodes.map(({ node }) => node.node.leave()));
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

for (const kind of ['hang', 'reset', 'refuse'] as const satisfies readonly CutKind[]) {
  test(`nodes that reach all endpoints serve all callers while two others do not (${kind})`, async () => {
    const [first, second, third, fourth] = nodes;
    assert.ok(first && second && third && fourth);
    first.links.begin(kind);
    second.links.begin(kind);
    const responses = await Promise.all(
      nodes.map((node) => sendRequests(node, CONTACT_MILLISECONDS)),
    );
    for (const sound of responses.slice(2)) assertServed(sound, 1);
  });

  test(`callers of a node that reaches no endpoint are served through its neighbours (${kind})`, async () => {
    const [first] = nodes;
    assert.ok(first);
    first.links.begin(kind);
    await sendRequests(first, CONTACT_MILLISECONDS);
    assertServed(await sendRequests(first, COUNTED_MILLISECONDS), 1);
  });
}

test('a node whose links are back serves by itself at once, and holds nothing against the endpoints', async () => {
  const [first] = nodes;
  assert.ok(first);
  first.links.begin('hang');
  await sendRequests(first, CONTACT_MILLISECONDS);
  first.links.end();
  await waitFor('the node finds its links back', () => hasLogged(first, 'links-back'));
  const handedOver = countLines(first, 'request-handed-over');
  assertServed(await sendRequests(first, COUNTED_MILLISECONDS), 1);
  assert.equal(countLines(first, 'request-handed-over'), handedOver);
});

test('a stream that is open when the links fall silent goes on through another node', async () => {
  const [first] = nodes;
  assert.ok(first);
  for (const endpoint of endpoints)
    if (endpoint.layers) endpoint.handle = streamInHalves(STREAM_PAUSE_MILLISECONDS);
  const address = first.node.callers;
  const streams = Array.from({ length: 4 }, (_, index) =>
    sendCallerRequest({
      address,
      path: '/ask/',
      method: 'POST',
      body: `q${index}`,
      headers: { 'Attempt-Id': `open-${index}`, 'Deadline-Ms': '8000' },
    }),
  );
  await new Promise((resolve) => setTimeout(resolve, STREAM_PAUSE_MILLISECONDS / 4));
  first.links.begin('hang');
  const requests = sendRequests(first, COUNTED_MILLISECONDS);
  for (const { status, body } of await Promise.all(streams)) {
    assert.equal(status, 200);
    assert.equal(body, COMPLETE_STREAM);
  }
  await requests;
});

test('a node that loses the endpoints of one service only serves it through its neighbours', async () => {
  const [first] = nodes;
  assert.ok(first);
  const plain = new Set(
    endpoints.filter(({ id }) => id.startsWith('booking')).map(({ address }) => address),
  );
  first.links.begin('hang', (address) => plain.has(address));
  await sendRequests(first, CONTACT_MILLISECONDS);
  assertServed(await sendRequests(first, COUNTED_MILLISECONDS), 1);
});

test('a booking whose neighbour ends under it is not sent again, and not told to have been refused', async () => {
  const [first, second, third, fourth] = nodes;
  assert.ok(first && second && third && fourth);
  first.links.begin('refuse');
  await sendRequests(first, CONTACT_MILLISECONDS);
  const runs: string[] = [];
  for (const endpoint of endpoints) {
    endpoint.handle = (request) => {
      runs.push(String(request.headers['attempt-id']));
    };
  }
  const attempt = { 'Attempt-Id': 'booking-1', 'Deadline-Ms': '900' };
  const booking = sendCallerRequest({
    address: first.node.callers,
    path: '/book/',
    method: 'POST',
    body: 'q',
    headers: attempt,
  });
  await waitFor('the booking runs', () => runs.length > 0);
  await Promise.all([second, third, fourth].map(({ node }) => node.node.leave()));
  const { status } = await booking;
  assert.ok(status === 502 || status === 504, `status ${status}`);
  assert.deepEqual(runs, ['booking-1']);
});

test('a site whose nodes all reach no endpoint refuses requests, and hands none around', async () => {
  for (const { links } of nodes) links.begin('refuse');
  await Promise.all(nodes.map((node) => sendRequests(node, CONTACT_MILLISECONDS)));
  const [first] = nodes;
  assert.ok(first);
  const handedOver = countLines(first, 'request-handed-over');
  const responses = await sendRequests(first, COUNTED_MILLISECONDS);
  for (const all of responses.values())
    for (const { status, headers } of all) {
      assert.equal(status, 503);
      assert.ok(Number(headers['retry-after']) > 0);
    }
  assert.equal(countLines(first, 'request-handed-over'), handedOver);
});

test('callers are not sent to a node that reaches no endpoint, and another one plans in its place', async () => {
  const isPlanning = (node: CuttableNode): boolean =>
    countLines(node, 'planner-begins') > countLines(node, 'planner-ends');
  const planner = nodes.find(isPlanning);
  assert.ok(planner);
  planner.links.begin('refuse');
  await sendRequests(planner, CONTACT_MILLISECONDS);
  const others = nodes.filter((node) => node !== planner);
  await waitFor('another node plans', () => !isPlanning(planner) && others.some(isPlanning));
  for (const { node } of nodes) {
    const { directory: address } = node;
    const { body } = await sendCallerRequest({ address, path: '/resolve?name=a&zone=mission' });
    const { addresses } = JSON.parse(body) as { addresses: string[] };
    assert.deepEqual(addresses.sort(), others.map((other) => other.node.callers).sort());
  }
});
