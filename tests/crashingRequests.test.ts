/**
 * Requests that crash each endpoint that begins to answer them. Guards against nodes that pass such
 * requests on to one endpoint after another, and against harmless requests that are refused with them.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  type EndpointHandler,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import { explainRequest } from '../src/request/explainRequest/index.js';
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

const ENGINE_COUNT = 12;
const PLAIN_COUNT = 7;
/** Most crashes that one part may cause before every node refuses it. */
const MAXIMUM_CRASHES = 5;
/** Time in which an engine reads a prompt before it begins to write, in milliseconds. */
const READ_MILLISECONDS = 30;
/** Pause between two requests, in milliseconds. */
const REQUEST_INTERVAL_MILLISECONDS = 60;
const HEAD = 'a1a1';
const MIDDLE = 'b2b2';
const CRASHING_BODY = 'crashing';
const ALL_LAYERS = { from: 0, to: 4 };

let store: SiteStore;
let nodes: TestNode[];
let engines: SiteEndpoint[] = [];
let plainEndpoints: SiteEndpoint[];
let crashingParts: Set<string>;
let requestCount = 0;

function listParts({ headers }: ReceivedRequest): string[] {
  const prefix = headers['prompt-prefix'];
  return typeof prefix === 'string'
    ? prefix.split(',').map((entry) => entry.split(':', 1)[0] ?? '')
    : [];
}

const crashOnParts: EndpointHandler = (request, response, endpoint) => {
  setTimeout(() => {
    if (request.wasAborted) return;
    const isCrashing = listParts(request).some((part) => crashingParts.has(part));
    if (isCrashing || request.body === CRASHING_BODY) void endpoint.crash();
    else streamCompletely(request, response, endpoint);
  }, READ_MILLISECONDS);
};

function countLines(logs: readonly string[], event: string): number {
  return logs.filter((line) => line.includes(`"${event}"`)).length;
}

function countCrashingSends(): number {
  const isCrashing = (request: ReceivedRequest): boolean =>
    listParts(request).some((part) => crashingParts.has(part));
  return engines.reduce((sum, { received }) => sum + received.filter(isCrashing).length, 0);
}

function ask(node: TestNode, shared: readonly string[]): Promise<CallerResponse> {
  return askWithParts(node, [...shared, `c${requestCount + 1}`]);
}

function askWithParts(
  node: TestNode,
  parts: readonly string[],
  body = 'question',
): Promise<CallerResponse> {
  requestCount += 1;
  return sendCallerRequest({
    address: node.callers,
    path: '/ask/x',
    method: 'POST',
    body,
    headers: {
      'Attempt-Id': `attempt-${requestCount}`,
      'Token-Counts': '30,10',
      'Prompt-Prefix': parts.map((part) => `${part}:10`).join(','),
    },
  });
}

/** Sends a request with each list of shared parts to the nodes in turn. */
async function askInTurn(lists: readonly (readonly string[])[]): Promise<CallerResponse[]> {
  const responses: Promise<CallerResponse>[] = [];
  for (const [index, shared] of lists.entries()) {
    const node = nodes[index % nodes.length];
    if (node) responses.push(ask(node, shared));
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  return Promise.all(responses);
}

function countServed(responses: readonly CallerResponse[]): number {
  return responses.filter(({ status, isComplete }) => status === 200 && isComplete).length;
}

async function replaceEngines(prefix: string): Promise<void> {
  for (const { id } of engines) store.remove(`servers/${id}`);
  await Promise.all(engines.map((engine) => engine.crash()));
  engines = await Promise.all(
    Array.from({ length: ENGINE_COUNT }, (_, index) =>
      serveSiteEndpoint({ id: `${prefix}-${index}`, handle: crashOnParts }),
    ),
  );
  for (const engine of engines) {
    engine.layers = ALL_LAYERS;
    registerEndpoint(store, engine, MODEL_SERVICE, { layers: ALL_LAYERS });
  }
  await waitFor('all nodes know the engines', () =>
    nodes.every(({ logs }) =>
      engines.every(({ id }) => logs.some((line) => line.includes(`"${id}"`))),
    ),
  );
}

async function addPlainEndpoints(prefix: string, handle: EndpointHandler): Promise<void> {
  const added = await Promise.all(
    Array.from({ length: PLAIN_COUNT }, (_, index) =>
      serveSiteEndpoint({ id: `${prefix}-${index}`, handle }),
    ),
  );
  for (const endpoint of added) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  plainEndpoints.push(...added);
}

before(async () => {
  store = await startStore();
  nodes = [
    await startNode('node-1', store),
    await startNode('node-2', store),
    await startNode('node-3', store),
  ];
  plainEndpoints = [];
  await addPlainEndpoints('plain', respondCompletely);
  store.put('op/config', createPlatformConfiguration(1));
  await Promise.all(nodes.map(waitUntilReady));
  await waitFor('the nodes know each other', () =>
    nodes.every(({ logs }) => countLines(logs, 'node-joined') >= nodes.length - 1),
  );
});

beforeEach(async (context) => {
  crashingParts = new Set();
  await replaceEngines(`engine-${context.name.length}-${requestCount}`);
});

after(async () => {
  await Promise.all(nodes.map(({ node }) => node.leave()));
  await store.close();
  await Promise.all([...engines, ...plainEndpoints].map((endpoint) => endpoint.crash()));
});

test('a part that crashes engines is not passed from engine to engine by any node', async () => {
  crashingParts = new Set(['dead1']);
  await askInTurn(Array.from({ length: 6 }, () => [HEAD]));
  await askInTurn(Array.from({ length: 18 }, () => [HEAD, 'dead1']));
  const crashes = countCrashingSends();
  assert.ok(crashes <= MAXIMUM_CRASHES, `${crashes} requests reached engines`);
});

test('harmless requests that share parts with those that crash engines are served', async () => {
  crashingParts = new Set(['dead2']);
  await askInTurn(Array.from({ length: 6 }, () => [HEAD, MIDDLE]));
  const mixed = Array.from({ length: 40 }, (_, index) =>
    index % 2 === 0 ? [HEAD, 'dead2', MIDDLE] : [HEAD, MIDDLE],
  );
  const responses = await askInTurn(mixed);
  const harmless = responses.filter((_, index) => index % 2 === 1);
  assert.equal(countServed(harmless), harmless.length);
  assert.ok(
    countCrashingSends() <= MAXIMUM_CRASHES,
    `${countCrashingSends()} requests reached engines`,
  );
});

test('a repeated plain request that crashes its endpoint does not reach one after another', async () => {
  for (const endpoint of plainEndpoints)
    endpoint.handle = (request, response, self) => {
      if (request.url === '/look/crashing') void self.crash();
      else respondCompletely(request, response, self);
    };
  for (let index = 0; index < 9; index += 1) {
    const address = nodes[index % nodes.length]?.callers ?? '';
    await sendCallerRequest({ address, path: '/look/crashing' });
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  const received = plainEndpoints.flatMap((endpoint) => endpoint.received);
  const crashing = received.filter(({ url }) => url === '/look/crashing');
  assert.ok(crashing.length <= 3, `${crashing.length} endpoints received it`);
  const harmless = await sendCallerRequest({
    address: nodes[0]?.callers ?? '',
    path: '/look/harmless',
  });
  assert.equal(harmless.status, 200);
});

test('a request that crashes engines is blocked although its session is answered in between', async () => {
  for (let index = 0; index < 24; index += 1) {
    const node = nodes[index % nodes.length];
    const body = index % 2 === 0 ? CRASHING_BODY : 'harmless';
    if (node) await askWithParts(node, [HEAD, 'c0de'], body);
  }
  const received = engines.flatMap((engine) => engine.received);
  const crashing = received.filter(({ body }) => body === CRASHING_BODY);
  assert.ok(crashing.length <= MAXIMUM_CRASHES, `${crashing.length} requests reached engines`);
});

test('a booking that crashes its endpoint is known to all nodes, though none may repeat it', async () => {
  for (const endpoint of plainEndpoints)
    endpoint.handle = (request, response, self) => {
      if (request.url === '/book/crashing') void self.crash();
      else respondCompletely(request, response, self);
    };
  for (let index = 0; index < 9; index += 1) {
    const address = nodes[index % nodes.length]?.callers ?? '';
    await sendCallerRequest({ address, path: '/book/crashing', method: 'POST', body: 'seat' });
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  const received = plainEndpoints.flatMap((endpoint) => endpoint.received);
  const crashing = received.filter(({ url }) => url === '/book/crashing');
  assert.ok(crashing.length <= 2, `${crashing.length} endpoints received it`);
});

test('a failure response in between does not clear a request that crashes its endpoints', async () => {
  let sends = 0;
  const handle: EndpointHandler = (request, response, self) => {
    if (request.url !== '/look/failing') {
      respondCompletely(request, response, self);
      return;
    }
    sends += 1;
    if (sends % 2 === 1) {
      void self.crash();
      return;
    }
    response.writeHead(500, createEndpointHeaders(request));
    response.end('failed');
  };
  for (const endpoint of plainEndpoints) endpoint.handle = handle;
  await addPlainEndpoints('failing', handle);
  await waitFor('all nodes know the endpoints', () =>
    nodes.every(({ logs }) => logs.some((line) => line.includes('"failing-6"'))),
  );
  for (let index = 0; index < 9; index += 1) {
    const address = nodes[index % nodes.length]?.callers ?? '';
    await sendCallerRequest({ address, path: '/look/failing' });
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  assert.ok(sends <= MAXIMUM_CRASHES, `${sends} sends`);
});

test('a refusal of a blocked request names no run, and its log leads to the crashes', async () => {
  crashingParts = new Set(['dead3']);
  await askInTurn(Array.from({ length: 6 }, () => [HEAD]));
  await askInTurn(Array.from({ length: 6 }, () => [HEAD, 'dead3']));
  const [node] = nodes;
  assert.ok(node);
  const received = countCrashingSends();
  const response = await ask(node, [HEAD, 'dead3']);
  const attempt = `attempt-${requestCount}`;
  assert.equal(response.status, 503);
  const { error } = JSON.parse(response.body) as { error: { code: number; outcome: string } };
  assert.deepEqual([error.code, error.outcome], [1512, 'not-run']);
  assert.ok(Number(response.headers['retry-after']) >= 1);
  assert.equal(countCrashingSends(), received);
  await waitFor('the crashes are logged', () => {
    const logs = nodes.flatMap((other) => other.logs);
    const names = new Set(explainRequest(logs, attempt).map(({ event }) => event));
    return ['request-blocked', 'part-blocked', 'endpoint-crashed'].every((name) => names.has(name));
  });
});
