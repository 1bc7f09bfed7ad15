/**
 * Failures of endpoint connections, as operators of similar systems reported them. Guards against
 * slow streams that are cut, stalled streams that are not, truncated or duplicate responses that
 * reach callers, and requests that are lost when their node leaves.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
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
  streamCompletely,
  STREAM_EVENT_COUNT,
  COMPLETE_STREAM,
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
import { listenOnLoopback } from '../standins/listenOnLoopback/index.js';

/** Interval between the events of a slow but healthy stream, in milliseconds. */
const SLOW_EVENT_INTERVAL_MILLISECONDS = 300;
const DRIP_INTERVAL_MILLISECONDS = 40;
const DUPLICATE_DELAY_MILLISECONDS = 60;
/** More bytes than the buffers of a connection hold. */
const SLOW_CALLER_BYTES = 4_000_000;
/** Time for which the caller reads nothing; longer than a leaving node serves without open requests. */
const SLOW_CALLER_PAUSE_MILLISECONDS = 6_500;
const ALL_LAYERS = { layers: { from: 0, to: 4 } };

const streamSlowly: EndpointHandler = (request, response) => {
  writeEvents(request, response, 1);
  let last = 1;
  const timer = setInterval(() => {
    last += 1;
    response.write(`id: ${last}\ndata: t${last}\n\n`);
    if (last < STREAM_EVENT_COUNT) return;
    clearInterval(timer);
    response.end();
  }, SLOW_EVENT_INTERVAL_MILLISECONDS);
};
/** Writes one complete event, then single bytes of the next one at an interval, without an end. */
const drip: EndpointHandler = (request, response) => {
  writeEvents(request, response, 1);
  response.write('id: 2\ndata: ');
  const timer = setInterval(() => response.write('x'), DRIP_INTERVAL_MILLISECONDS);
  response.on('close', () => {
    clearInterval(timer);
  });
};
/** Closes the connection before the body has the length that its header announces. */
const cutBody: EndpointHandler = (request, response) => {
  response.writeHead(200, { ...createEndpointHeaders(request), 'Content-Length': '40' });
  response.write('only a part');
  setImmediate(() => response.destroy());
};

let store: SiteStore;
let node: TestNode;
let endpoints: SiteEndpoint[];

async function addEndpoint(
  id: string,
  service: string,
  handle: EndpointHandler,
): Promise<SiteEndpoint> {
  const endpoint = await serveSiteEndpoint({ id, handle });
  endpoints.push(endpoint);
  if (service === MODEL_SERVICE) endpoint.layers = ALL_LAYERS.layers;
  registerEndpoint(store, endpoint, service, service === MODEL_SERVICE ? ALL_LAYERS : {});
  await waitFor(`the node has ${id} in its endpoint table`, () =>
    node.logs.some((line) => line.includes(`"${id}"`)),
  );
  return endpoint;
}

function requestStream(): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10' };
  return sendCallerRequest({ address: node.callers, path: '/ask/one', headers });
}

beforeEach(async () => {
  endpoints = [];
  store = await startStore();
  store.put('op/config', createPlatformConfiguration(1));
  node = await startNode('node-1', store);
  await waitUntilReady(node);
});

afterEach(async () => {
  await node.node.leave();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
  await store.close();
});

after(() => {
  // The runtime keeps sockets of closed connections for a while, which delays the exit.
  setTimeout(() => process.exit(), 500).unref();
});

test('does not cut a slow but healthy stream', async () => {
  const slow = await addEndpoint('engine-slow', MODEL_SERVICE, streamSlowly);
  const response = await requestStream();
  assert.equal(response.body, COMPLETE_STREAM);
  assert.ok(response.isComplete);
  assert.equal(slow.received.length, 1);
});

test('continues a stream at another endpoint when its endpoint sends only single bytes of an event', async () => {
  const dripping = await addEndpoint('engine-drip', MODEL_SERVICE, drip);
  const pending = requestStream();
  await waitFor('the stalled endpoint has the request', () => dripping.received.length > 0);
  const healthy = await addEndpoint('engine-sound', MODEL_SERVICE, streamCompletely);
  const response = await pending;
  assert.equal(response.body, COMPLETE_STREAM);
  assert.equal(healthy.received[0]?.headers['last-event-id'], '1');
  await waitFor(
    'the connection to the stalled endpoint is closed',
    () => dripping.received[0]?.wasAborted === true,
  );
});

test('never returns a truncated response as complete', async () => {
  await addEndpoint('plain-1', PLAIN_SERVICE, cutBody);
  const response = await sendCallerRequest({
    address: node.callers,
    path: '/book/one',
    method: 'POST',
    body: 'b',
  });
  assert.equal(response.status, 502);
  assert.ok(!response.body.includes('only a part'));
});

/** Starts an endpoint that sends each response twice on its connection, the second time late. */
async function serveDuplicateResponses(): Promise<{ address: string; close: () => Promise<void> }> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const attempt = /attempt-id: (\S+)/i.exec(bytes.toString())?.[1] ?? '';
      const body = `for ${attempt}`;
      const response = `HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${attempt}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      socket.write(response);
      setTimeout(() => socket.write(response), DUPLICATE_DELAY_MILLISECONDS);
    });
  });
  const address = await listenOnLoopback(server);
  return {
    address,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}

test('a duplicate response never reaches the next caller on the connection', async () => {
  const duplicating = await serveDuplicateResponses();
  registerEndpoint(store, { id: 'plain-twice', address: duplicating.address }, PLAIN_SERVICE);
  await waitFor('the node has the endpoint in its table', () =>
    node.logs.some((line) => line.includes('plain-twice')),
  );
  for (let index = 0; index < 12; index += 1) {
    const attempt = `caller-${index}`;
    const headers = { 'Attempt-Id': attempt };
    const response = await sendCallerRequest({
      address: node.callers,
      path: '/book/one',
      method: 'POST',
      headers,
    });
    assert.equal(response.body, `for ${attempt}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await duplicating.close();
});

test('a leaving node completes the requests that it has accepted', async () => {
  const leaving = await startNode('node-2', store, { graceMilliseconds: 8_000 });
  await waitUntilReady(leaving);
  await addEndpoint('engine-slow', MODEL_SERVICE, streamSlowly);
  const plain = await addEndpoint('plain-1', PLAIN_SERVICE, (request, response) => {
    setTimeout(() => {
      response.writeHead(200, createEndpointHeaders(request));
      response.end('booked');
    }, SLOW_EVENT_INTERVAL_MILLISECONDS);
  });
  await waitFor('the leaving node has the endpoints in its table', () =>
    ['engine-slow', 'plain-1'].every((id) => leaving.logs.some((line) => line.includes(id))),
  );
  const headers = { 'Token-Counts': '20,10' };
  const stream = sendCallerRequest({ address: leaving.callers, path: '/ask/one', headers });
  const booking = sendCallerRequest({
    address: leaving.callers,
    path: '/book/one',
    method: 'POST',
    body: 'b',
  });
  await waitFor(
    'both requests are in progress',
    () => endpoints.every(({ received }) => received.length > 0) && plain.received.length > 0,
  );
  const departure = leaving.node.leave();
  assert.equal((await booking).body, 'booked');
  assert.equal((await stream).body, COMPLETE_STREAM);
  await departure;
});

test('a leaving node sends the last bytes of a response to a slow caller', async () => {
  const leaving = await startNode('node-2', store, { graceMilliseconds: 9_000 });
  await waitUntilReady(leaving);
  const body = 'x'.repeat(SLOW_CALLER_BYTES);
  const plain = await addEndpoint('plain-1', PLAIN_SERVICE, (request, response) => {
    response.writeHead(200, createEndpointHeaders(request));
    response.end(body);
  });
  await waitFor('the leaving node has the endpoint in its table', () =>
    leaving.logs.some((line) => line.includes('plain-1')),
  );
  const booking = sendCallerRequest({
    address: leaving.callers,
    path: '/book/one',
    method: 'POST',
    body: 'b',
    onStart: (incoming) => {
      incoming.pause();
      setTimeout(() => incoming.resume(), SLOW_CALLER_PAUSE_MILLISECONDS);
    },
  });
  await waitFor('the endpoint has the request', () => plain.received.length > 0);
  const departure = leaving.node.leave();
  const { body: received, isComplete } = await booking;
  assert.deepEqual([received.length, isComplete], [body.length, true]);
  await departure;
});
