/**
 * Streams on endpoints that a node wrongly takes for lost. Guards against callers' connections that the
 * node closes in the middle of a response, although the endpoint would have sent the rest.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  ENGINE,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  STREAM_EVENT_COUNT,
  COMPLETE_STREAM,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

/** Engine whose accelerators have memory for half of the layers, so that a path needs two engines. */
const SMALL_ENGINE = {
  ...ENGINE,
  types: [{ name: 'large', size_mb: 250, pace: 1, read_factor: 1 }],
};
/** Longer than a node waits for a report. */
const LATE_REPORT_MILLISECONDS = 600;
/** Pause in a stream, in which a node asks for the report and marks the endpoint as lost. */
const PAUSE_MILLISECONDS = 700;
const FIRST_EVENTS = 2;

let store: SiteStore;
let node: TestNode;
let endpoints: SiteEndpoint[] = [];

/** Writes two events, calls back, and writes the rest after a pause. */
function streamWithPause(onPause: (request: ReceivedRequest, endpoint: SiteEndpoint) => void) {
  const handle: EndpointHandler = (request, response, endpoint) => {
    writeEvents(request, response, FIRST_EVENTS);
    onPause(request, endpoint);
    setTimeout(() => {
      for (let id = FIRST_EVENTS + 1; id <= STREAM_EVENT_COUNT; id += 1)
        response.write(`id: ${id}\ndata: t${id}\n\n`);
      response.end();
    }, PAUSE_MILLISECONDS);
  };
  return handle;
}

async function startEndpoints(
  engine: object,
  count: number,
  model: EndpointHandler,
): Promise<void> {
  const services = [{ name: PLAIN_SERVICE }, { name: MODEL_SERVICE, engine }];
  store.put('op/config', createPlatformConfiguration(1, { services }));
  const engines = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      serveSiteEndpoint({ id: `engine-${index + 1}`, handle: model }),
    ),
  );
  const plain = await Promise.all(
    [1, 2, 3].map((number) =>
      serveSiteEndpoint({ id: `booking-${number}`, handle: respondCompletely }),
    ),
  );
  for (const endpoint of engines) registerEndpoint(store, endpoint, MODEL_SERVICE);
  for (const endpoint of plain) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  endpoints = [...engines, ...plain];
  await waitUntilReady(node);
  await waitFor('all engines host layers', () => engines.every(({ layers }) => layers));
  // The node reads the hosted layers from the engines' load reports.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
}

function ask(): Promise<CallerResponse> {
  return sendCallerRequest({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
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

test('a stream whose only endpoint reports late is not cut', async () => {
  const pauseLate = streamWithPause((_, endpoint) => {
    endpoint.reportDelayMilliseconds = LATE_REPORT_MILLISECONDS;
  });
  await startEndpoints(ENGINE, 1, pauseLate);
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
  await startEndpoints(SMALL_ENGINE, 2, pauseStalled);
  const response = await ask();
  assert.ok(hasLogged('endpoint-lost'), 'the node took the second endpoint for lost');
  assert.equal(response.body, COMPLETE_STREAM);
  assert.ok(response.isComplete);
});
