/**
 * Requests that reach a node before its first configuration. Guards against requests that are
 * refused or lost although the configuration or the endpoints are registered within the wait limit.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  serveSiteEndpoint,
  createEndpointHeaders,
  writeEvents,
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
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const LAYERS = { from: 0, to: 4 };
const BEFORE_CONFIGURATION_MILLISECONDS = 300;

let store: SiteStore;
let endpoint: SiteEndpoint;
let node: TestNode;

beforeEach(async () => {
  store = await startStore();
  endpoint = await serveSiteEndpoint({
    id: 'engine-1',
    handle: (request, response) => {
      response.writeHead(200, createEndpointHeaders(request));
      response.end('booked');
    },
  });
  registerEndpoint(store, endpoint, PLAIN_SERVICE);
  node = await startNode('node-1', store);
});

afterEach(async () => {
  await node.node.leave();
  await Promise.all([endpoint.crash(), store.close()]);
});

function sendBooking(): Promise<CallerResponse> {
  return sendCallerRequest({
    address: node.callers,
    path: '/book/one',
    method: 'POST',
    body: 'book',
  });
}

test('serves requests that arrive before the configuration once it is in force', async () => {
  const responses = Promise.all([sendBooking(), sendBooking(), sendBooking()]);
  await new Promise((resolve) => setTimeout(resolve, BEFORE_CONFIGURATION_MILLISECONDS));
  store.put('op/config', createPlatformConfiguration(1));
  for (const { status, body } of await responses) {
    assert.equal(status, 200, body);
    assert.equal(body, 'booked');
  }
  assert.equal(endpoint.received.length, 3);
});

test('refuses a request without a configuration as not executed, with a Retry-After header', async () => {
  const { status, headers } = await sendBooking();
  assert.equal(status, 503);
  assert.ok(Number(headers['retry-after']) > 0, String(headers['retry-after']));
  assert.equal(endpoint.received.length, 0);
});

test('does not send a request whose caller disconnected before the configuration was in force', async () => {
  const [host, port] = node.callers.split(':');
  const aborted = new AbortController();
  const disconnected = fetch(`http://${host}:${port}/look/one`, { signal: aborted.signal });
  await new Promise((resolve) => setTimeout(resolve, BEFORE_CONFIGURATION_MILLISECONDS));
  aborted.abort();
  await assert.rejects(disconnected);
  store.put('op/config', createPlatformConfiguration(1));
  assert.equal((await sendBooking()).status, 200);
  assert.equal(endpoint.received.length, 1);
});

test('a stream waits for an endpoint that is registered after it arrived', async () => {
  const engine = await serveSiteEndpoint({
    id: 'engine-2',
    handle: (request, response) => {
      writeEvents(request, response, 1);
      response.end();
    },
  });
  engine.layers = LAYERS;
  store.put('op/config', createPlatformConfiguration(1));
  await waitUntilReady(node);
  const headers = { 'Token-Counts': '20,10' };
  const callerResponse = sendCallerRequest({ address: node.callers, path: '/ask/one', headers });
  await new Promise((resolve) => setTimeout(resolve, BEFORE_CONFIGURATION_MILLISECONDS));
  registerEndpoint(store, engine, MODEL_SERVICE, { layers: LAYERS });
  const { status, body } = await callerResponse;
  await engine.crash();
  assert.equal(status, 200, body);
  assert.equal(body, 'id: 1\ndata: t1\n\n');
});
