/**
 * Planned stops of a node. Guards against requests that end without an answer because the node stops.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, beforeEach, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  streamCompletely,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';
import { startProgram, writeSettings } from './support/siteProcess/index.js';

/** Grace period of the stopped nodes; they end the last requests half a second before it ends. */
const GRACE_MILLISECONDS = 1_500;
const OUTCOME_UNKNOWN_STATUS = 504;

const LARGE_BODY = 'x'.repeat(4_000_000);
/** Time for which a slow caller does not read, beyond the time that a stopped node serves. */
const SLOW_CALLER_MILLISECONDS = 3_800;

const neverRespond: EndpointHandler = () => undefined;
const respondWithLargeBody: EndpointHandler = (request, response) => {
  response.writeHead(200, createEndpointHeaders(request));
  response.end(LARGE_BODY);
};
let store: SiteStore;
let plain: SiteEndpoint;
let engine: SiteEndpoint;
let nodes: TestNode[];

async function start(graceMilliseconds = GRACE_MILLISECONDS): Promise<TestNode> {
  const node = await startNode(`node-${nodes.length + 1}`, store, { graceMilliseconds });
  nodes.push(node);
  await waitUntilReady(node);
  await waitFor('the engine hosts layers', () => engine.layers !== undefined);
  await waitFor('a booking is served', async () => (await book(node)).status === 200);
  await waitFor('a stream is served', async () => (await ask(node)).status === 200);
  return node;
}

function book(node: TestNode): Promise<CallerResponse> {
  return sendCallerRequest({ address: node.callers, path: '/book/one', method: 'POST', body: 'b' });
}

function ask(node: TestNode): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: node.callers, path: '/ask/one', headers });
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Returns a configuration whose requests may last longer than the grace period. */
function createSlowConfiguration(): object {
  const configuration = createPlatformConfiguration(1) as { routes: object[] };
  const routes = configuration.routes.map((route) => ({ ...route, timeout_ms: 5_000 }));
  return { ...configuration, routes };
}

beforeEach(async () => {
  nodes = [];
  store = await startStore();
  plain = await serveSiteEndpoint({ id: 'plain-1', handle: respondCompletely });
  engine = await serveSiteEndpoint({ id: 'engine-1', handle: streamCompletely });
  registerEndpoint(store, plain, PLAIN_SERVICE);
  registerEndpoint(store, engine, MODEL_SERVICE);
  store.put('op/config', createSlowConfiguration());
});

afterEach(async () => {
  await Promise.all(nodes.map(({ node }) => node.leave()));
  await Promise.all([plain, engine].map((endpoint) => endpoint.crash()));
  await store.close();
});

after(() => {
  // The runtime keeps sockets of closed connections for a while, which delays the exit.
  setTimeout(() => process.exit(), 500).unref();
});

test('a booking that is open when the node has to stop gets a final response', async () => {
  const node = await start();
  plain.handle = neverRespond;
  const received = plain.received.length;
  const booked = book(node);
  await waitFor('the endpoint has the booking', () => plain.received.length > received);
  const left = node.node.leave();
  const response = await booked;
  assert.equal(response.status, OUTCOME_UNKNOWN_STATUS);
  assert.ok(response.isComplete);
  await left;
});

test('a booking of a node that was to stop before it had started gets a response in time', async () => {
  const node = await start();
  plain.handle = neverRespond;
  const signalledAt = performance.now() - 800;
  const booked = book(node);
  const left = node.node.leave(signalledAt);
  const response = await booked;
  assert.equal(response.status, OUTCOME_UNKNOWN_STATUS);
  assert.ok(performance.now() - signalledAt < GRACE_MILLISECONDS);
  await left;
});

test('a stream without events that is open when the node has to stop gets a final response', async () => {
  const node = await start();
  engine.handle = neverRespond;
  const asked = ask(node);
  await waitFor('the engine has the request', () =>
    engine.received.some(({ wasAborted }) => !wasAborted),
  );
  const left = node.node.leave();
  assert.equal((await asked).status, OUTCOME_UNKNOWN_STATUS);
  await left;
});

test('a stream that waits for layers when the node has to stop is refused as not run', async () => {
  store.remove(`servers/${engine.id}`);
  const node = await startNode('node-1', store, { graceMilliseconds: 600 });
  nodes.push(node);
  await waitUntilReady(node);
  const asked = ask(node);
  await wait(50);
  const left = node.node.leave();
  const response = await asked;
  assert.equal(response.status, 503);
  assert.match(response.body, /leaving/);
  await left;
});

test('a leaving node refuses a booking that may outlast it', async () => {
  const node = await start(4_500);
  plain.handle = neverRespond;
  const held = book(node);
  await waitFor('the endpoint has the booking', () =>
    plain.received.some(({ wasAborted, method }) => !wasAborted && method === 'POST'),
  );
  const left = node.node.leave();
  await wait(2_700);
  const receivedBefore = plain.received.length;
  const response = await book(node);
  assert.equal(response.status, 503);
  assert.match(response.body, /leaving/);
  assert.equal(plain.received.length, receivedBefore);
  assert.equal((await held).status, OUTCOME_UNKNOWN_STATUS);
  await left;
});

test('a leaving node sends the complete response to a slow caller before it stops', async () => {
  const node = await start(8_000);
  plain.handle = respondWithLargeBody;
  const looked = sendCallerRequest({
    address: node.callers,
    path: '/look/one',
    onStart: (incoming) => {
      incoming.pause();
      setTimeout(() => incoming.resume(), SLOW_CALLER_MILLISECONDS);
      void node.node.leave();
    },
  });
  const { isComplete, body } = await looked;
  assert.ok(isComplete);
  assert.equal(body.length, LARGE_BODY.length);
});

test('a stream that ends before the last sixth of a short grace period is complete', async () => {
  const node = await start(1_200);
  engine.handle = (request, response) => {
    writeEvents(request, response, 1);
    setTimeout(() => {
      response.end('id: 2\ndata: t2\n\n');
    }, 850);
  };
  const received = engine.received.length;
  const asked = ask(node);
  await waitFor('the engine has the request', () => engine.received.length > received);
  const left = node.node.leave();
  const { isComplete, body } = await asked;
  assert.ok(isComplete);
  assert.match(body, /t2/);
  await left;
});

test('a second request to stop does not admit streams again', async () => {
  const node = await start(6_000);
  plain.handle = neverRespond;
  const left = node.node.leave();
  await wait(2_600);
  assert.equal((await ask(node)).status, 503);
  void node.node.leave();
  assert.equal((await ask(node)).status, 503);
  await left;
});

for (const signal of ['SIGTERM', 'SIGHUP'] as const) {
  test(`a ${signal} while the node starts does not end the process at once`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'planned-stop-'));
    const settingsPath = writeSettings(folder, { storeAddress: store.address });
    const child = startProgram(settingsPath, `process.kill(process.pid, '${signal}')`);
    let output = '';
    child.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const ended = once(child, 'exit');
    await waitFor('the node has started', () => output.includes('"message":"started"'));
    child.kill('SIGTERM');
    assert.deepEqual(await ended, [0, null]);
    assert.match(output, /"message":"stopped"/);
    rmSync(folder, { recursive: true });
  });
}
