/**
 * Many responses without framing of healthy endpoints. Guards against a proof of completeness that turns a sound
 * response into a failure or a repeat, and against more than one additional query for each.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { createSiteProtocol } from '../platform/createSiteProtocol/index.js';
import { createEndpointPort } from '../src/process/relay/createEndpointPort/index.js';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  type EndpointHandler,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
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
  waitFor,
  waitUntilReady,
  type CallerRequest,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const ALL_LAYERS = { from: 0, to: 4 };
const REQUESTS = 1_000;
const CONCURRENT_REQUESTS = 8;
const BODY = 'done by hand';
const TIMEOUT_MILLISECONDS = 60_000;
/** Maximum number of reports of both engines that the node's planner reads in a second. */
const PLANNER_REPORTS_PER_SECOND = 8;

let store: SiteStore;
let node: TestNode;
let endpoints: SiteEndpoint[] = [];
/** Numbers of requests that the endpoints ran, and of reports that the node requested. */
let runs = 0;
let reports = 0;
let isFramed = false;

function formatHead(request: ReceivedRequest, type: string): string {
  const headers = { ...createEndpointHeaders(request), 'Content-Type': type, Connection: 'close' };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`;
}

/** Responds without framing: by turns in one piece, in two, and with the end in a later turn of the event loop. */
const respondUnframed: EndpointHandler = (request, response, endpoint) => {
  runs += 1;
  const { socket } = response;
  if (isFramed || !socket) {
    respondCompletely(request, response, endpoint);
    return;
  }
  const isModel = endpoint.id.startsWith('model');
  const head = formatHead(request, isModel ? 'text/event-stream' : 'text/plain');
  const body = isModel ? COMPLETE_STREAM : BODY;
  const ways = [
    () => socket.end(head + body),
    () => socket.write(head + body.slice(0, 3), () => socket.end(body.slice(3))),
    () => {
      socket.write(head);
      setTimeout(() => {
        socket.write(body, () => setTimeout(() => socket.end(), 2));
      }, 2);
    },
  ];
  ways[runs % ways.length]?.();
};

/** Returns a configuration whose time limits a busy machine does not reach. */
function createPatientConfiguration(): object {
  const configuration = createPlatformConfiguration(1) as { readonly routes: readonly object[] };
  const routes = configuration.routes.map((route) => ({
    ...route,
    timeout_ms: TIMEOUT_MILLISECONDS,
  }));
  return { ...configuration, routes };
}

/** Sends requests, a few at the same time; returns the responses. */
async function sendMany(count: number, request: CallerRequest): Promise<CallerResponse[]> {
  const responses: CallerResponse[] = [];
  let sent = 0;
  const sendNext = async (): Promise<void> => {
    while (sent < count) {
      sent += 1;
      const headers = { ...request.headers, 'Deadline-Ms': String(TIMEOUT_MILLISECONDS) };
      responses.push(await sendCallerRequest({ ...request, headers }));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, sendNext));
  return responses;
}

const countHealthRequests = (): number =>
  endpoints.reduce((sum, { healthRequests }) => sum + healthRequests, 0);

/** Counts the responses by status, body and whether they ended as announced. */
function groupResponses(responses: readonly CallerResponse[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status, body, isComplete } of responses) {
    const key = `${status} ${isComplete ? 'whole' : 'cut'} ${body}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

before(async () => {
  store = await startStore();
  const port = createEndpointPort(createSiteProtocol());
  node = await startNode('node-1', store, {
    endpointPort: {
      ...port,
      fetchReport: (address, timeoutMilliseconds) => {
        reports += 1;
        return port.fetchReport(address, timeoutMilliseconds);
      },
    },
  });
  store.put('op/config', createPatientConfiguration());
  await waitUntilReady(node);
  endpoints = await Promise.all(
    ['model-1', 'model-2', 'plain-1', 'plain-2'].map((id) =>
      serveSiteEndpoint({ id, handle: respondUnframed }),
    ),
  );
  for (const endpoint of endpoints) {
    const isModel = endpoint.id.startsWith('model');
    if (isModel) endpoint.layers = ALL_LAYERS;
    const service = isModel ? MODEL_SERVICE : PLAIN_SERVICE;
    registerEndpoint(store, endpoint, service, isModel ? { layers: ALL_LAYERS } : {});
  }
  await waitFor('the node knows the endpoints', () =>
    endpoints.every(({ id }) => node.logs.some((line) => line.includes(`"${id}"`))),
  );
});

after(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

for (const [kind, path, method] of [
  ['bookings', '/book/x', 'POST'],
  ['lookups', '/look/x', 'GET'],
] as const) {
  test(`${REQUESTS} ${kind} without framing get their response with one query each`, async () => {
    const [runsBefore, queriesBefore] = [runs, countHealthRequests()];
    const responses = await sendMany(REQUESTS, { address: node.callers, path, method });
    assert.deepEqual(groupResponses(responses), { [`200 whole ${BODY}`]: REQUESTS });
    const queries = countHealthRequests() - queriesBefore;
    assert.deepEqual([runs - runsBefore, queries], [REQUESTS, REQUESTS]);
  });
}

test(`${REQUESTS} streams without framing get their response with one query each`, async () => {
  const [queriesBefore, reportsBefore] = [countHealthRequests(), reports];
  const headers = { 'Token-Counts': '20,10', 'Prompt-Prefix': 'own:20' };
  const startedAt = performance.now();
  const responses = await sendMany(REQUESTS, { address: node.callers, path: '/ask/x', headers });
  assert.deepEqual(groupResponses(responses), { [`200 whole ${COMPLETE_STREAM}`]: REQUESTS });
  assert.equal(countHealthRequests() - queriesBefore, 0);
  // A machine that stands still may replace a silent run, but no complete one is repeated.
  assert.deepEqual(
    node.logs.filter((line) => line.includes('connection ended')),
    [],
  );
  // The planner reads the reports of both engines at intervals, too.
  const seconds = (performance.now() - startedAt) / 1_000;
  assert.ok(reports - reportsBefore <= REQUESTS + PLANNER_REPORTS_PER_SECOND * (seconds + 1));
});

test('responses with a length or chunks cause no query', async () => {
  isFramed = true;
  const queriesBefore = countHealthRequests();
  const connections = endpoints.map((endpoint) => endpoint.connections);
  const responses = await sendMany(20, { address: node.callers, path: '/look/x' });
  assert.ok(responses.every(({ status }) => status === 200));
  const opened = endpoints
    .slice(2)
    .reduce(
      (sum, endpoint, index) => sum + endpoint.connections - (connections[index + 2] ?? 0),
      0,
    );
  assert.deepEqual([countHealthRequests() - queriesBefore, opened], [0, 20]);
});
