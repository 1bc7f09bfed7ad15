/**
 * Responses with neither a length nor chunks, which end with their connection. Guards against truncated
 * responses that callers take for complete, and against complete ones that are repeated.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import type { Socket } from 'node:net';
import { createSiteProtocol } from '../platform/createSiteProtocol/index.js';
import { createEndpointPort } from '../src/process/relay/createEndpointPort/index.js';
import type { EndpointPort } from '../src/types/relay/index.js';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  type EndpointHandler,
  type ReceivedRequest,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import { createLinkCut } from './support/cutEndpointPort/index.js';
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
  streamCompletely,
  STREAM_EVENT_COUNT,
  waitFor,
  waitUntilReady,
  type CallerResponse,
  type TestNode,
} from './support/siteNodes/index.js';

const ALL_LAYERS = { from: 0, to: 4 };

/** Links of the node to the endpoints. */
const links = createLinkCut();

let store: SiteStore;
let node: TestNode;
let endpoints: SiteEndpoint[] = [];
let responses = 0;
/** Number of heads of responses that the node has read. */
let heads = 0;

/** Counts the heads that a port delivers. */
function countHeads(port: EndpointPort): EndpointPort {
  return {
    ...port,
    send: (request, forwarding, handlers) =>
      port.send(request, forwarding, {
        ...handlers,
        onHead: (head) => {
          heads += 1;
          handlers.onHead(head);
        },
      }),
  };
}

function formatHead(request: ReceivedRequest, type: string): string {
  const headers = { ...createEndpointHeaders(request), 'Content-Type': type, Connection: 'close' };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`;
}

function formatEvents(request: ReceivedRequest, last: number): string {
  const received = Number(request.headers['last-event-id'] ?? 0);
  const ids = Array.from({ length: last }, (_, index) => index + 1).filter((id) => id > received);
  return ids.map((id) => `id: ${id}\ndata: t${id}\n\n`).join('');
}

/** Sends text without framing in the first response, and responds as a healthy endpoint after that. */
function respondUnframed(
  format: (request: ReceivedRequest) => string,
  end: (socket: Socket, endpoint: SiteEndpoint) => void | Promise<void>,
  healthy: EndpointHandler,
): EndpointHandler {
  return (request, response, endpoint) => {
    responses += 1;
    const { socket } = response;
    if (responses > 1 || !socket) healthy(request, response, endpoint);
    else
      socket.write(format(request), () => {
        void end(socket, endpoint);
      });
  };
}

const close = (socket: Socket): void => {
  socket.end();
};
/** Ends as the operating system ends the connections of a process that is killed. */
const crash = (socket: Socket, endpoint: SiteEndpoint): void => {
  socket.end();
  void endpoint.crash();
};

async function replaceEndpoints(handle: EndpointHandler): Promise<void> {
  for (const { id } of endpoints) store.remove(`servers/${id}`);
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
  responses = 0;
  heads = 0;
  const prefix = performance.now().toFixed(0);
  endpoints = await Promise.all(
    ['model-1', 'model-2', 'plain-1', 'plain-2'].map((name) =>
      serveSiteEndpoint({ id: `${name}-${prefix}`, handle }),
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
}

function requestStream(): Promise<CallerResponse> {
  const headers = { 'Token-Counts': '20,10', 'Prompt-Prefix': 'own:20' };
  return sendCallerRequest({ address: node.callers, path: '/ask/x', headers });
}

function requestPlain(path: string, method = 'GET'): Promise<CallerResponse> {
  return sendCallerRequest({ address: node.callers, path, method });
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store, {
    endpointPort: links.wrap(countHeads(createEndpointPort(createSiteProtocol()))),
  });
  store.put('op/config', createPlatformConfiguration(1));
  await waitUntilReady(node);
});

beforeEach(() => {
  responses = 0;
  heads = 0;
});

after(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

function waitForLog(event: string, endpoint: SiteEndpoint): Promise<void> {
  return waitFor(`${event} of ${endpoint.id}`, () =>
    node.logs.some((line) => line.includes(`"${event}"`) && line.includes(`"${endpoint.id}"`)),
  );
}

/** Ends the endpoint in the middle of a response, after its registration has changed. */
const crashAfter =
  (event: string, change: (endpoint: SiteEndpoint) => void) =>
  async (socket: Socket, endpoint: SiteEndpoint): Promise<void> => {
    change(endpoint);
    await waitForLog(event, endpoint);
    crash(socket, endpoint);
  };

/** Ends the endpoint behind a cut of the node's links, and starts another one at its address. */
const replaceBehindCut =
  (createId: (id: string) => string) =>
  async (socket: Socket, endpoint: SiteEndpoint): Promise<void> => {
    await waitFor('the node reads the head', () => heads > 0);
    await waitFor('the node opens a second connection', () => endpoint.connections > 1);
    links.begin('hang', (address) => address === endpoint.address);
    socket.end();
    await endpoint.crash();
    const successor = await serveSiteEndpoint({
      id: createId(endpoint.id),
      handle: respondCompletely,
      startedAt: 2_000,
      port: Number(endpoint.address.split(':')[1]),
    });
    endpoints.push(successor);
    links.end();
  };

const formatStream =
  (last: number, rest = '') =>
  (request: ReceivedRequest) =>
    `${formatHead(request, 'text/event-stream')}${formatEvents(request, last)}${rest}`;
const formatBody = (request: ReceivedRequest): string =>
  `${formatHead(request, 'text/plain')}done by hand`;

test('a stream without framing that ends with its connection is complete', async () => {
  await replaceEndpoints(
    respondUnframed(formatStream(STREAM_EVENT_COUNT), close, streamCompletely),
  );
  const { status, body, isComplete } = await requestStream();
  assert.deepEqual([status, body, isComplete, responses], [200, COMPLETE_STREAM, true, 1]);
});

test('a stream without framing that ends inside an event goes on at another endpoint', async () => {
  const format = formatStream(2, 'id: 3\nda');
  await replaceEndpoints(respondUnframed(format, close, streamCompletely));
  const { body, isComplete } = await requestStream();
  assert.deepEqual([body, isComplete, responses], [COMPLETE_STREAM, true, 2]);
});

test("a stream without framing that its endpoint's crash ends goes on at another endpoint", async () => {
  await replaceEndpoints(respondUnframed(formatStream(2), crash, streamCompletely));
  const { body, isComplete } = await requestStream();
  assert.deepEqual([body, isComplete, responses], [COMPLETE_STREAM, true, 2]);
});

test('a body without framing that ends with its connection is complete', async () => {
  await replaceEndpoints(respondUnframed(formatBody, close, respondCompletely));
  const { status, body, isComplete } = await requestPlain('/look/x');
  assert.deepEqual([status, body, isComplete, responses], [200, 'done by hand', true, 1]);
});

test("a body without framing that its endpoint's crash ends is not taken for complete", async () => {
  await replaceEndpoints(respondUnframed(formatBody, crash, respondCompletely));
  const lookUp = await requestPlain('/look/x');
  assert.match(lookUp.body, /^done by plain/);
  await replaceEndpoints(respondUnframed(formatBody, crash, respondCompletely));
  const booking = await requestPlain('/book/x', 'POST');
  assert.deepEqual([booking.status, responses], [502, 1]);
});

/** Guards against the belief that an endpoint which drains ends only after its responses. */
test('a stream without framing whose draining engine ends goes on at another endpoint', async () => {
  const drain = crashAfter('endpoint-draining', (endpoint) => {
    registerEndpoint(store, endpoint, MODEL_SERVICE, { state: 'draining', layers: ALL_LAYERS });
  });
  await replaceEndpoints(respondUnframed(formatStream(2), drain, streamCompletely));
  const { body, isComplete } = await requestStream();
  assert.deepEqual([body, isComplete, responses], [COMPLETE_STREAM, true, 2]);
});

/** Guards against the belief that an endpoint without an entry has left after its responses. */
test('a stream without framing whose engine crashes after its entry expired goes on at another endpoint', async () => {
  const expire = crashAfter('endpoint-gone', ({ id }) => {
    store.remove(`servers/${id}`);
  });
  await replaceEndpoints(respondUnframed(formatStream(2), expire, streamCompletely));
  const { body, isComplete } = await requestStream();
  assert.deepEqual([body, isComplete, responses], [COMPLETE_STREAM, true, 2]);
});

/** Guards against any listener at the address as proof that the endpoint did not end. */
test('a body without framing is not complete when another endpoint listens at the address', async () => {
  const replace = replaceBehindCut((id) => `${id}-successor`);
  await replaceEndpoints(respondUnframed(formatBody, replace, respondCompletely));
  const booking = await requestPlain('/book/x', 'POST');
  assert.deepEqual([booking.status, responses], [502, 1]);
  await replaceEndpoints(respondUnframed(formatBody, replace, respondCompletely));
  const lookUp = await requestPlain('/look/x');
  assert.match(lookUp.body, /^done by plain/);
});

/** Guards against an id as proof, which an endpoint may keep when it restarts. */
test('a body without framing is not complete when its endpoint restarts under its id', async () => {
  await replaceEndpoints(
    respondUnframed(
      formatBody,
      replaceBehindCut((id) => id),
      respondCompletely,
    ),
  );
  const booking = await requestPlain('/book/x', 'POST');
  assert.deepEqual([booking.status, responses], [502, 1]);
});

test('a response that ends with its head needs no proof', async () => {
  await replaceEndpoints((request, response) => {
    response.writeHead(204, createEndpointHeaders(request));
    response.end();
  });
  const { status } = await requestPlain('/book/x', 'POST');
  const healthRequests = endpoints.map((endpoint) => endpoint.healthRequests);
  assert.deepEqual([status, healthRequests], [204, [0, 0, 0, 0]]);
});
