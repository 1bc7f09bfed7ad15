/**
 * Whole nodes of a site: endpoints that say in their answers that they leave, or that they want rest.
 */
import assert from 'node:assert/strict';
import { after, beforeEach, afterEach, test } from 'node:test';
import {
  createSeal,
  serveSiteEndpoint,
  writeEvents,
  type Behaviour,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  answerWhole,
  streamWhole,
  EVENTS,
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

/** Requests after which a choice by chance would have met an endpoint that is still used. */
const MANY_CALLS = 12;

const answerWith =
  (status: number, extra: Record<string, string>): Behaviour =>
  (request, response, endpoint) => {
    response.writeHead(status, { ...createSeal(request), ...extra });
    response.end(`done by ${endpoint.id}`);
  };
const leaveWith = (status: number, extra: Record<string, string> = {}): Behaviour =>
  answerWith(status, { 'Server-Leaving': '1', ...extra });
const restFor = (value: string): Behaviour =>
  answerWith(503, { 'Not-Executed': '1', 'Retry-After': value });
/** Says that it leaves in the head of a whole stream. */
const streamLeaving: Behaviour = (request, response) => {
  response.setHeader('Server-Leaving', '1');
  writeEvents(request, response, EVENTS);
  response.end();
};

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let first: SiteEndpoint;
let second: SiteEndpoint;
let engines: SiteEndpoint[];

function look(target: TestNode = node): Promise<CallerAnswer> {
  return call({ address: target.callers, path: '/look/one' });
}

function ask(target: TestNode = node): Promise<CallerAnswer> {
  const headers = { 'Token-Counts': '20,10' };
  return call({ address: target.callers, path: '/ask/one', headers });
}

async function repeat(count: number, action: () => Promise<CallerAnswer>): Promise<CallerAnswer[]> {
  const answers: CallerAnswer[] = [];
  for (let index = 0; index < count; index += 1) answers.push(await action());
  return answers;
}

function countReceived(endpoint: SiteEndpoint): number {
  return endpoint.received.length;
}

function hasLogged(target: TestNode, event: string): boolean {
  return target.logs.some((line) => line.includes(`"message":"${event}"`));
}

/** Asks until an endpoint has had a request. */
function lookUntilMet(endpoint: SiteEndpoint): Promise<void> {
  return waitFor(`${endpoint.id} was met`, async () => {
    await look();
    return countReceived(endpoint) > 0;
  });
}

beforeEach(async () => {
  store = await startStore();
  first = await serveSiteEndpoint({ id: 'plain-1', behave: answerWhole });
  second = await serveSiteEndpoint({ id: 'plain-2', behave: answerWhole });
  engines = [];
  for (const id of ['engine-1', 'engine-2', 'engine-3'])
    engines.push(await serveSiteEndpoint({ id, behave: streamWhole }));
  for (const endpoint of [first, second]) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  for (const endpoint of engines) registerEndpoint(store, endpoint, MODEL_SERVICE);
  store.put('op/config', createWireConfiguration(1));
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  await Promise.all([waitUntilReady(node), waitUntilReady(peer)]);
  await waitFor('every engine holds layers', () => engines.every(({ layers }) => layers));
  await waitFor('a stream is served', async () => (await ask()).status === 200);
});

afterEach(async () => {
  await Promise.all([node.node.leave(), peer.node.leave()]);
  await Promise.all([first, second, ...engines].map((endpoint) => endpoint.crash()));
  await store.close();
});

after(() => {
  // The runtime keeps sockets of cut connections for a while.
  setTimeout(() => process.exit(), 500).unref();
});

for (const [name, behave] of Object.entries({
  'a success': leaveWith(200),
  'a refusal': leaveWith(503, { 'Not-Executed': '1' }),
  'a failure': leaveWith(500),
})) {
  test(`an endpoint that says in ${name} that it leaves gets no more requests`, async () => {
    first.behave = behave;
    await lookUntilMet(first);
    const met = countReceived(first);
    const answers = await repeat(MANY_CALLS, look);
    assert.ok(answers.every(({ body }) => body === 'done by plain-2'));
    assert.equal(countReceived(first), met);
    assert.ok(hasLogged(node, 'endpoint-leaving'));
  });
}

test('an endpoint that says in the head of a stream that it leaves begins no more', async () => {
  for (const engine of engines) engine.behave = streamLeaving;
  const met = new Set<SiteEndpoint>();
  await repeat(engines.length, async () => {
    const before = engines.map(countReceived);
    const answer = await ask();
    engines.forEach((engine, index) => {
      if (countReceived(engine) === before[index]) return;
      assert.ok(!met.has(engine), `${engine.id} was sent a stream after it said that it leaves`);
      met.add(engine);
    });
    return answer;
  });
  assert.equal((await ask()).status, 503);
});

test('an endpoint that says in its report that it leaves gets no more requests', async () => {
  const [leaving] = engines;
  assert.ok(leaving);
  leaving.isLeaving = true;
  await waitFor('the planner has read the report', () => hasLogged(node, 'endpoint-leaving'));
  const met = countReceived(leaving);
  await repeat(MANY_CALLS, ask);
  assert.equal(countReceived(leaving), met);
});

test('other nodes are told of an endpoint that says that it leaves', async () => {
  first.behave = leaveWith(200);
  await lookUntilMet(first);
  await waitFor('the other node was told', () => hasLogged(peer, 'endpoint-leaving'));
  const met = countReceived(first);
  await repeat(MANY_CALLS, () => look(peer));
  assert.equal(countReceived(first), met);
});

test('an endpoint that left is used again once the registry shows it born again', async () => {
  first.behave = leaveWith(200);
  await waitFor('the leaving endpoint was met', async () => {
    await look();
    return hasLogged(node, 'endpoint-leaving');
  });
  first.behave = answerWhole;
  registerEndpoint(store, first, PLAIN_SERVICE, { sequence: 2 });
  const met = countReceived(first);
  await repeat(MANY_CALLS, look);
  assert.equal(countReceived(first), met);
  registerEndpoint(store, first, PLAIN_SERVICE, { born: 2_000 });
  await waitFor('the endpoint is used again', async () => {
    await look();
    return countReceived(first) > met;
  });
});

test('an endpoint that asks for rest gets nothing until the rest ends', async () => {
  first.behave = restFor('2');
  await lookUntilMet(first);
  const met = countReceived(first);
  const answers = await repeat(MANY_CALLS, look);
  assert.ok(answers.every(({ body }) => body === 'done by plain-2'));
  assert.equal(countReceived(first), met);
  first.behave = answerWhole;
  await waitFor('the endpoint is used again', async () => {
    await look();
    return countReceived(first) > met;
  });
});

test('when all endpoints rest, callers are refused at once and told when the first rest ends', async () => {
  first.behave = restFor('30');
  second.behave = restFor('20');
  await waitFor('both were met', async () => {
    await look();
    return countReceived(first) > 0 && countReceived(second) > 0;
  });
  const met = countReceived(first) + countReceived(second);
  const answer = await look();
  assert.equal(answer.status, 503);
  const retryAfter = Number(answer.headers['retry-after']);
  assert.ok(retryAfter > 15 && retryAfter < 23, `Retry-After is ${retryAfter}`);
  assert.equal(countReceived(first) + countReceived(second), met);
});

test('streams are told when the first rest ends, too', async () => {
  for (const engine of engines) engine.behave = restFor('20');
  let last: CallerAnswer | undefined;
  await waitFor('all engines rest', async () => {
    const met = engines.map(countReceived);
    last = await ask();
    return engines.every((engine, index) => countReceived(engine) === met[index]);
  });
  assert.equal(last?.status, 503);
  const retryAfter = Number(last.headers['retry-after']);
  assert.ok(retryAfter > 15 && retryAfter < 23, `Retry-After is ${retryAfter}`);
});

test('a time to rest that cannot be read is logged and given a default', async () => {
  first.behave = restFor('soon');
  await waitFor('the value was logged', async () => {
    await look();
    return hasLogged(node, 'endpoint-rest-unreadable');
  });
  const met = countReceived(first);
  await repeat(2, look);
  assert.equal(countReceived(first), met);
});
