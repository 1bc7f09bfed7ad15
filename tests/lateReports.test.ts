/**
 * Endpoints that are sound and only report late, or are silent for a while. Guards against requests that a node
 * ends although their endpoint would have answered, and against harmless parts that are blocked.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  COMPLETE_STREAM,
  ENGINE,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  STREAM_EVENT_COUNT,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const LATE_REPORT_MILLISECONDS = 600;
const PAUSE_MILLISECONDS = 900;
/** Pause in a stream, in which a node asks for the report and marks the endpoint as lost. */
const MOVE_PAUSE_MILLISECONDS = 700;
const FIRST_EVENTS = 2;
/** Engine whose accelerators have memory for half of the layers, so that a path needs two engines. */
const SMALL_ENGINE = {
  ...ENGINE,
  types: [{ name: 'large', size_mb: 250, pace: 1, read_factor: 1 }],
};

let store: SiteStore;
let node: TestNode;
let endpoints: SiteEndpoint[] = [];

function pauseAfter(first: number, pause: number, isLate = true): EndpointHandler {
  return (request, response, endpoint) => {
    if (isLate) endpoint.reportDelayMilliseconds = LATE_REPORT_MILLISECONDS;
    if (first > 0) writeEvents(request, response, first);
    setTimeout(() => {
      if (first === 0) writeEvents(request, response, STREAM_EVENT_COUNT);
      else
        for (let id = first + 1; id <= STREAM_EVENT_COUNT; id += 1)
          response.write(`id: ${id}\ndata: t${id}\n\n`);
      response.end();
    }, pause);
  };
}

async function startEndpoints(
  models: readonly EndpointHandler[],
  plains: readonly EndpointHandler[] = [respondCompletely, respondCompletely, respondCompletely],
  moreRoutes: readonly object[] = [],
  engine: object = ENGINE,
): Promise<SiteEndpoint[]> {
  const services = [{ name: PLAIN_SERVICE }, { name: MODEL_SERVICE, engine }];
  const usual = createPlatformConfiguration(1) as { routes: object[] };
  const routes = [...moreRoutes, ...usual.routes];
  store.put('op/config', createPlatformConfiguration(1, { services, routes }));
  const engines = await Promise.all(
    models.map((handle, index) => serveSiteEndpoint({ id: `engine-${index + 1}`, handle })),
  );
  const plain = await Promise.all(
    plains.map((handle, index) => serveSiteEndpoint({ id: `booking-${index + 1}`, handle })),
  );
  for (const endpoint of engines) registerEndpoint(store, endpoint, MODEL_SERVICE);
  for (const endpoint of plain) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  endpoints = [...engines, ...plain];
  await waitUntilReady(node);
  await waitFor('all engines host layers', () => engines.every(({ layers }) => layers));
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  return engines;
}

function ask(headers: Record<string, string> = {}): Promise<CallerResponse> {
  return sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    headers,
  });
}

function listLines(...events: string[]): string {
  return node.logs
    .join('')
    .split('\n')
    .filter((line) => events.some((event) => line.includes(event)))
    .join('\n');
}

/** Writes two events, calls back, and writes the rest after a pause. */
function streamWithPause(onPause: (request: ReceivedRequest, endpoint: SiteEndpoint) => void) {
  const handle: EndpointHandler = (request, response, endpoint) => {
    writeEvents(request, response, FIRST_EVENTS);
    onPause(request, endpoint);
    setTimeout(() => {
      for (let id = FIRST_EVENTS + 1; id <= STREAM_EVENT_COUNT; id += 1)
        response.write(`id: ${id}\ndata: t${id}\n\n`);
      response.end();
    }, MOVE_PAUSE_MILLISECONDS);
  };
  return handle;
}

function hasLogged(text: string): boolean {
  return node.logs.some((line) => line.includes(text));
}

beforeEach(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
});

afterEach(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

test('a stream that may not run again is not given up for a late report', async () => {
  const usual = createPlatformConfiguration(1) as { routes: object[] };
  const once = { ...usual.routes[2], name: 'once', prefix: '/once/', resumable: false };
  const handle = pauseAfter(0, PAUSE_MILLISECONDS);
  await startEndpoints([handle, handle], undefined, [once]);
  const response = await sendCallerRequest({
    address: node.callers,
    path: '/once/',
    method: 'POST',
    body: 'q',
  });
  assert.equal(response.body, COMPLETE_STREAM);
});

for (const first of [0, 1]) {
  test(`a stream with ${first} events whose only endpoint reports late is answered`, async () => {
    const [engine] = await startEndpoints([pauseAfter(first, PAUSE_MILLISECONDS)]);
    const response = await ask();
    assert.equal(response.status, 200);
    assert.equal(response.body, COMPLETE_STREAM);
    assert.equal(engine?.received.length, 1);
  });
}

test('a part whose endpoints only report late is not blocked', async () => {
  await startEndpoints([0, 0, 0].map((first) => pauseAfter(first, PAUSE_MILLISECONDS)));
  for (let index = 0; index < 3; index += 1) {
    const attempt = `attempt-${index}`;
    await ask({
      'Attempt-Id': attempt,
      'Prompt-Prefix': `head:10,own-${index}:10`,
    });
  }
  assert.equal(listLines('"message":"part-blocked"'), '');
  assert.equal(listLines('"message":"endpoint-crashed"'), '');
});

test('a stream is not cut when the endpoint that takes over refuses it', async () => {
  const refuse: EndpointHandler = (request, response) => {
    response.writeHead(503, { ...createEndpointHeaders(request), 'Not-Executed': '1' });
    response.end();
  };
  let first: SiteEndpoint | undefined;
  const handle: EndpointHandler = (request, response, endpoint) => {
    first ??= endpoint;
    (first === endpoint ? pauseAfter(2, PAUSE_MILLISECONDS) : refuse)(request, response, endpoint);
  };
  await startEndpoints([handle, handle]);
  const response = await ask();
  assert.equal(response.body, COMPLETE_STREAM);
});

test('a safe request is not given up at half of its time when no other endpoint can take it', async () => {
  const slow: EndpointHandler = (request, response, endpoint) => {
    setTimeout(() => {
      respondCompletely(request, response, endpoint);
    }, 600);
  };
  await startEndpoints([pauseAfter(2, 10, false)], [slow]);
  const response = await sendCallerRequest({ address: node.callers, path: '/look/a' });
  assert.equal(response.status, 200);
});

test('a stream runs on no more engines than its route allows when none has ended', async () => {
  const engines = await startEndpoints(
    Array.from({ length: 10 }, () => pauseAfter(0, 7_000, false)),
  );
  await ask({ 'Deadline-Ms': '6000' });
  const runs = engines.map(({ received }) => received.length);
  assert.ok(runs.filter((count) => count > 0).length <= 2);
});

test('a silent run is not given up when a blocked part lets no other run follow', async () => {
  let own: SiteEndpoint | undefined;
  const handle: EndpointHandler = (request, response, endpoint) => {
    if (!request.url.startsWith('/poison')) {
      own = endpoint;
      pauseAfter(2, 3_500, false)(request, response, endpoint);
    } else if (endpoint === own) {
      response.writeHead(503, { ...createEndpointHeaders(request), 'Not-Executed': '1' });
      response.end();
    } else void endpoint.crash();
  };
  const usual = createPlatformConfiguration(1) as { routes: { name: string }[] };
  const poison = { ...usual.routes[2], name: 'poison', prefix: '/poison/', resumable: false };
  await startEndpoints(
    Array.from({ length: 8 }, () => handle),
    undefined,
    [poison],
  );
  const asked = ask({ 'Prompt-Prefix': 'head:10,own-s:10' });
  await new Promise((resolve) => setTimeout(resolve, 150));
  for (let index = 0; index < 4; index += 1) {
    await sendCallerRequest({
      address: node.callers,
      path: '/poison/',
      method: 'POST',
      body: 'q',
      headers: { 'Attempt-Id': `poison-${index}`, 'Prompt-Prefix': `head:10,own-${index}:10` },
    });
  }
  const response = await asked;
  assert.equal(response.body, COMPLETE_STREAM);
});

test('a stream whose only endpoint reports late is not cut', async () => {
  const pauseLate = streamWithPause((_, endpoint) => {
    endpoint.reportDelayMilliseconds = LATE_REPORT_MILLISECONDS;
  });
  await startEndpoints([pauseLate]);
  const response = await ask();
  assert.ok(hasLogged('endpoint-lost'), 'the node took the endpoint for lost');
  assert.equal(response.body, COMPLETE_STREAM);
  assert.ok(response.isComplete);
  assert.equal(endpoints[0]?.received.length, 1, 'the stream was not restarted');
});

test('a stream is not cut when its first endpoint refuses to move it and no other path exists', async () => {
  const pauseStalled = streamWithPause((request, endpoint) => {
    const [, second = ''] = String(request.headers['hop-count']).split(',');
    endpoint.refusesMoves = true;
    endpoint.stalledAddresses = [second.split('=')[0] ?? ''];
  });
  await startEndpoints([pauseStalled, pauseStalled], undefined, [], SMALL_ENGINE);
  const response = await ask();
  assert.ok(hasLogged('endpoint-lost'), 'the node took the second endpoint for lost');
  assert.equal(response.body, COMPLETE_STREAM);
  assert.ok(response.isComplete);
});
