/**
 * Endpoints that announce a rate limit for all nodes together. Guards against an endpoint in need that gets many
 * times the requests that it can take, as each node sends what it would send without the limit.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  serveSiteEndpoint,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import { countBusiestWindow } from './support/countBusiestWindow/index.js';
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
  type CallerRequest,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const LIMIT_PER_SECOND = 1;
/** Limit of each of two endpoints that cannot take all requests. */
const USED_LIMIT_PER_SECOND = 4;
const USED_MILLISECONDS = 5_000;
/** Share of the limits that has to be used where the need is there. */
const USED_SHARE = 0.8;
/** Maximum time until a request is refused, in milliseconds. */
const REFUSAL_MILLISECONDS = 1_200;
const NODE_COUNT = 3;
const REQUEST_INTERVAL_MILLISECONDS = 60;
/** Time in which all nodes have to know a limit, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 4_000;
/** Requests that a limited endpoint may get in a window: half as many again as announced, and five. */
const MAXIMUM_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * (WINDOW_MILLISECONDS / 1_000) + 5;

/** Endpoint with the times at which it received requests, in milliseconds. */
interface TimedEndpoint {
  readonly endpoint: SiteEndpoint;
  readonly times: number[];
}

/** Response with the time that it took, in milliseconds. */
interface TimedResponse extends CallerResponse {
  readonly milliseconds: number;
}

let store: SiteStore;
let nodes: TestNode[] = [];
let endpoints: TimedEndpoint[] = [];

async function startEndpoint(id: string, handle: EndpointHandler): Promise<TimedEndpoint> {
  const times: number[] = [];
  const endpoint = await serveSiteEndpoint({
    id,
    handle: (request, response, self) => {
      times.push(performance.now());
      handle(request, response, self);
    },
  });
  return { endpoint, times };
}

/** Starts endpoints of a service, and waits until each node knows them. */
async function startEndpoints(
  service: string,
  handle: EndpointHandler,
  count: number,
): Promise<void> {
  const ids = Array.from({ length: count }, (_, index) => `${service}-${index + 1}`);
  endpoints = await Promise.all(ids.map((id) => startEndpoint(id, handle)));
  for (const { endpoint } of endpoints) registerEndpoint(store, endpoint, service);
  await Promise.all(nodes.map(waitUntilReady));
  await waitFor('the endpoints are known, and host layers where they have to', () =>
    endpoints.every(
      ({ endpoint }) =>
        (service === PLAIN_SERVICE || endpoint.layers) &&
        nodes.every(({ logs }) => logs.some((line) => line.includes(`"${endpoint.id}"`))),
    ),
  );
}

async function sendTimed(request: CallerRequest): Promise<TimedResponse> {
  const sentAt = performance.now();
  const response = await sendCallerRequest(request);
  return { ...response, milliseconds: performance.now() - sentAt };
}

/** Sends requests to all nodes in turn for a time, and returns the responses. */
async function sendRequests(path: string, milliseconds: number): Promise<TimedResponse[]> {
  const responses: Promise<TimedResponse>[] = [];
  const until = performance.now() + milliseconds;
  for (let count = 0; performance.now() < until; count += 1) {
    const address = nodes[count % nodes.length]?.callers ?? '';
    const headers = { 'Attempt-Id': `attempt-${count}` };
    responses.push(sendTimed({ address, path, method: 'POST', body: 'q', headers }));
    await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS));
  }
  return Promise.all(responses);
}

beforeEach(async () => {
  store = await startStore();
  store.put('op/config', createPlatformConfiguration(1));
  const names = Array.from({ length: NODE_COUNT }, (_, index) => `node-${index + 1}`);
  nodes = await Promise.all(names.map((name) => startNode(name, store)));
});

afterEach(async () => {
  await Promise.all(nodes.map(({ node }) => node.leave()));
  await store.close();
  await Promise.all(endpoints.map(({ endpoint }) => endpoint.crash()));
});

for (const { service, path, handle } of [
  { service: PLAIN_SERVICE, path: '/look/', handle: respondCompletely },
  { service: MODEL_SERVICE, path: '/ask/', handle: streamCompletely },
]) {
  test(`endpoints of the service ${service} get no more than they announced to all nodes`, async () => {
    await startEndpoints(service, handle, 3);
    const limited = endpoints.slice(0, 2);
    for (const { endpoint } of limited) endpoint.requestsPerSecond = LIMIT_PER_SECOND;
    await sendRequests(path, KNOWN_MILLISECONDS);
    const since = performance.now();
    const responses = await sendRequests(path, WINDOW_MILLISECONDS * 1.5);
    for (const { times } of limited) {
      const counted = times.filter((time) => time >= since);
      const most = countBusiestWindow(counted, WINDOW_MILLISECONDS);
      assert.ok(most <= MAXIMUM_IN_WINDOW, `${most} requests in 4 s`);
    }
    const served = responses.filter(({ status }) => status === 200).length;
    assert.equal(served, responses.length, 'the endpoint without a limit has room for all');
  });

  test(`the limits of all endpoints of the service ${service} are used, and the rest is refused soon`, async () => {
    await startEndpoints(service, handle, 2);
    for (const { endpoint } of endpoints) endpoint.requestsPerSecond = USED_LIMIT_PER_SECOND;
    await sendRequests(path, KNOWN_MILLISECONDS);
    const responses = await sendRequests(path, USED_MILLISECONDS);
    const served = responses.filter(({ status }) => status === 200).length;
    const announced = 2 * USED_LIMIT_PER_SECOND * (USED_MILLISECONDS / 1_000);
    assert.ok(served >= USED_SHARE * announced, `${served} of ${announced} served`);
    for (const { status, headers, milliseconds } of responses) {
      if (status === 200) continue;
      assert.equal(status, 503);
      assert.ok(Number(headers['retry-after']) > 0, 'the response names a time to retry');
      assert.ok(milliseconds < REFUSAL_MILLISECONDS, `refused after ${milliseconds} ms`);
    }
  });
}

test('an endpoint that no longer announces a limit gets all requests again', async () => {
  await startEndpoints(PLAIN_SERVICE, respondCompletely, 1);
  const [only] = endpoints;
  assert.ok(only);
  only.endpoint.requestsPerSecond = LIMIT_PER_SECOND;
  await sendRequests('/look/', KNOWN_MILLISECONDS);
  only.endpoint.requestsPerSecond = undefined;
  await sendRequests('/look/', KNOWN_MILLISECONDS);
  const responses = await sendRequests('/look/', 1_000);
  assert.ok(responses.every(({ status }) => status === 200));
});

test('a node that starts keeps to a limit that it has not heard itself', async () => {
  await startEndpoints(PLAIN_SERVICE, respondCompletely, 3);
  const limited = endpoints.slice(0, 2);
  for (const { endpoint } of limited) endpoint.requestsPerSecond = LIMIT_PER_SECOND;
  await sendRequests('/look/', KNOWN_MILLISECONDS);
  const started = await startNode('node-4', store);
  nodes.push(started);
  await waitUntilReady(started);
  await waitFor('the new node knows the limits', () =>
    limited.every(({ endpoint }) =>
      started.logs.some((line) => line.includes('endpoint-limits') && line.includes(endpoint.id)),
    ),
  );
  const since = performance.now();
  await sendRequests('/look/', WINDOW_MILLISECONDS);
  for (const { times } of limited) {
    const most = countBusiestWindow(
      times.filter((time) => time >= since),
      WINDOW_MILLISECONDS,
    );
    assert.ok(most <= MAXIMUM_IN_WINDOW, `${most} requests in 4 s`);
  }
});
