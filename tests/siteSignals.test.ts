/**
 * Endpoints that announce in responses or reports that they are leaving, or request a backoff.
 * Guards against requests that a node or its peers still send to such endpoints.
 */
import assert from 'node:assert/strict';
import { after, beforeEach, afterEach, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  respondCompletely,
  streamCompletely,
  STREAM_EVENT_COUNT,
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

/** Number of requests of which random selection would send some to an endpoint still in use. */
const REPEATED_REQUESTS = 12;

const respondWith =
  (status: number, extra: Record<string, string>): EndpointHandler =>
  (request, response, endpoint) => {
    response.writeHead(status, { ...createEndpointHeaders(request), ...extra });
    response.end(`done by ${endpoint.id}`);
  };
const announceLeavingWith = (status: number, extra: Record<string, string> = {}): EndpointHandler =>
  respondWith(status, { 'Server-Leaving': '1', ...extra });
const requestBackoff = (value: string): EndpointHandler =>
  respondWith(503, { 'Not-Executed': '1', 'Retry-After': value });
/** Announces in the head of a complete stream that it is leaving. */
const streamLeaving: EndpointHandler = (request, response) => {
  response.setHeader('Server-Leaving', '1');
  writeEvents(request, response, STREAM_EVENT_COUNT);
  response.end();
};

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let first: SiteEndpoint;
let second: SiteEndpoint;
let engines: SiteEndpoint[];

function requestPlain(target: TestNode = node): Promise<CallerResponse> {
  return sendCallerRequest({ address: target.callers, path: '/look/one' });
}

function requestStream(target: TestNode = node): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: target.callers, path: '/ask/one', headers });
}

async function repeat(
  count: number,
  action: () => Promise<CallerResponse>,
): Promise<CallerResponse[]> {
  const responses: CallerResponse[] = [];
  for (let index = 0; index < count; index += 1) responses.push(await action());
  return responses;
}

function countReceived(endpoint: SiteEndpoint): number {
  return endpoint.received.length;
}

function hasLoggedEvent(target: TestNode, event: string): boolean {
  return target.logs.some((line) => line.includes(`"message":"${event}"`));
}

/** Sends requests until an endpoint has received one. */
function requestUntilReceived(endpoint: SiteEndpoint): Promise<void> {
  return waitFor(`${endpoint.id} received a request`, async () => {
    await requestPlain();
    return countReceived(endpoint) > 0;
  });
}

beforeEach(async () => {
  store = await startStore();
  first = await serveSiteEndpoint({ id: 'plain-1', handle: respondCompletely });
  second = await serveSiteEndpoint({ id: 'plain-2', handle: respondCompletely });
  engines = [];
  for (const id of ['engine-1', 'engine-2', 'engine-3'])
    engines.push(await serveSiteEndpoint({ id, handle: streamCompletely }));
  for (const endpoint of [first, second]) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  for (const endpoint of engines) registerEndpoint(store, endpoint, MODEL_SERVICE);
  store.put('op/config', createPlatformConfiguration(1));
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  await Promise.all([waitUntilReady(node), waitUntilReady(peer)]);
  await waitFor('every engine hosts layers', () => engines.every(({ layers }) => layers));
  await waitFor('a stream is served', async () => (await requestStream()).status === 200);
});

afterEach(async () => {
  await Promise.all([node.node.leave(), peer.node.leave()]);
  await Promise.all([first, second, ...engines].map((endpoint) => endpoint.crash()));
  await store.close();
});

after(() => {
  // The runtime keeps sockets of closed connections for a while, which delays the exit.
  setTimeout(() => process.exit(), 500).unref();
});

for (const [name, behave] of Object.entries({
  'a successful response': announceLeavingWith(200),
  'a refusal': announceLeavingWith(503, { 'Not-Executed': '1' }),
  'a failure': announceLeavingWith(500),
})) {
  test(`sends no more requests to an endpoint that announced in ${name} that it is leaving`, async () => {
    first.handle = behave;
    await requestUntilReceived(first);
    const receivedBefore = countReceived(first);
    const responses = await repeat(REPEATED_REQUESTS, requestPlain);
    assert.ok(responses.every(({ body }) => body === 'done by plain-2'));
    assert.equal(countReceived(first), receivedBefore);
    assert.ok(hasLoggedEvent(node, 'endpoint-leaving'));
  });
}

test('starts no more streams at an endpoint that announced in the head of one that it is leaving', async () => {
  for (const engine of engines) engine.handle = streamLeaving;
  const announced = new Set<SiteEndpoint>();
  await repeat(engines.length, async () => {
    const before = engines.map(countReceived);
    const response = await requestStream();
    engines.forEach((engine, index) => {
      if (countReceived(engine) === before[index]) return;
      assert.ok(
        !announced.has(engine),
        `${engine.id} received a stream after it announced that it is leaving`,
      );
      announced.add(engine);
    });
    return response;
  });
  assert.equal((await requestStream()).status, 503);
});

test('sends no more requests to an endpoint that announced in its report that it is leaving', async () => {
  const [leaving] = engines;
  assert.ok(leaving);
  leaving.isLeaving = true;
  await waitFor('the planner has read the report', () => hasLoggedEvent(node, 'endpoint-leaving'));
  const receivedBefore = countReceived(leaving);
  await repeat(REPEATED_REQUESTS, requestStream);
  assert.equal(countReceived(leaving), receivedBefore);
});

test('announces an endpoint that is leaving to other nodes', async () => {
  first.handle = announceLeavingWith(200);
  await requestUntilReceived(first);
  await waitFor('the other node received the announcement', () =>
    hasLoggedEvent(peer, 'endpoint-leaving'),
  );
  const receivedBefore = countReceived(first);
  await repeat(REPEATED_REQUESTS, () => requestPlain(peer));
  assert.equal(countReceived(first), receivedBefore);
});

test('uses an endpoint that left again once the registry shows a later start time', async () => {
  first.handle = announceLeavingWith(200);
  await waitFor('the leaving endpoint announced its shutdown', async () => {
    await requestPlain();
    return hasLoggedEvent(node, 'endpoint-leaving');
  });
  first.handle = respondCompletely;
  registerEndpoint(store, first, PLAIN_SERVICE, { sequence: 2 });
  const receivedBefore = countReceived(first);
  await repeat(REPEATED_REQUESTS, requestPlain);
  assert.equal(countReceived(first), receivedBefore);
  registerEndpoint(store, first, PLAIN_SERVICE, { born: 2_000 });
  await waitFor('the endpoint is used again', async () => {
    await requestPlain();
    return countReceived(first) > receivedBefore;
  });
});

test('sends no requests to an endpoint during the backoff that it requested', async () => {
  first.handle = requestBackoff('2');
  await requestUntilReceived(first);
  const receivedBefore = countReceived(first);
  const responses = await repeat(REPEATED_REQUESTS, requestPlain);
  assert.ok(responses.every(({ body }) => body === 'done by plain-2'));
  assert.equal(countReceived(first), receivedBefore);
  first.handle = respondCompletely;
  await waitFor('the endpoint is used again', async () => {
    await requestPlain();
    return countReceived(first) > receivedBefore;
  });
});

test('refuses requests at once while all endpoints back off; Retry-After gives the first end', async () => {
  first.handle = requestBackoff('30');
  second.handle = requestBackoff('20');
  await waitFor('both endpoints received a request', async () => {
    await requestPlain();
    return countReceived(first) > 0 && countReceived(second) > 0;
  });
  const receivedBefore = countReceived(first) + countReceived(second);
  const response = await requestPlain();
  assert.equal(response.status, 503);
  const retryAfter = Number(response.headers['retry-after']);
  assert.ok(retryAfter > 15 && retryAfter < 23, `Retry-After is ${retryAfter}`);
  assert.equal(countReceived(first) + countReceived(second), receivedBefore);
});

test('refuses streams while all engines back off; Retry-After gives the first end', async () => {
  for (const engine of engines) engine.handle = requestBackoff('20');
  let last: CallerResponse | undefined;
  await waitFor('all engines back off', async () => {
    const receivedBefore = engines.map(countReceived);
    last = await requestStream();
    return engines.every((engine, index) => countReceived(engine) === receivedBefore[index]);
  });
  assert.equal(last?.status, 503);
  const retryAfter = Number(last.headers['retry-after']);
  assert.ok(retryAfter > 15 && retryAfter < 23, `Retry-After is ${retryAfter}`);
});

test('logs an unreadable Retry-After value and applies the default backoff', async () => {
  first.handle = requestBackoff('soon');
  await waitFor('the value was logged', async () => {
    await requestPlain();
    return hasLoggedEvent(node, 'endpoint-rest-unreadable');
  });
  const receivedBefore = countReceived(first);
  await repeat(2, requestPlain);
  assert.equal(countReceived(first), receivedBefore);
});
