/**
 * Two complete nodes of a site under failures. Guards against wrong, duplicate or truncated
 * responses to callers while endpoints, the store or nodes fail, and against requests that are
 * executed twice.
 */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import {
  createEndpointHeaders,
  serveSiteEndpoint,
  writeEvents,
  type EndpointHandler,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import { siteStatusSchema } from '../src/process/site/describeSite/index.js';
import { LOG_EVENTS, type LogEventName } from '../src/process/site/logEvents/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  respondCompletely,
  streamCompletely,
  COMPLETE_STREAM,
  sendCallerRequest,
  createPlatformConfiguration,
  KEY,
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

const failWith =
  (status: number, extra: Record<string, string> = {}): EndpointHandler =>
  (request, response) => {
    response.writeHead(status, { ...createEndpointHeaders(request), ...extra });
    response.end('failed');
  };

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let first: SiteEndpoint;
let second: SiteEndpoint;
let engines: SiteEndpoint[];
const seenCodes = new Set<number>();

function readCode({ body }: CallerResponse): number {
  const { error } = JSON.parse(body) as { error: { code: number } };
  seenCodes.add(error.code);
  return error.code;
}

function resetEndpoints(): void {
  for (const endpoint of [first, second]) Object.assign(endpoint, { handle: respondCompletely });
  for (const engine of engines)
    Object.assign(engine, { handle: streamCompletely, stalledAddresses: [] });
  for (const endpoint of [first, second, ...engines]) endpoint.received.length = 0;
}

function countReceived(endpoints: readonly SiteEndpoint[]): number {
  return endpoints.reduce((sum, { received }) => sum + received.length, 0);
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  first = await serveSiteEndpoint({ id: 'plain-1', handle: respondCompletely });
  second = await serveSiteEndpoint({ id: 'plain-2', handle: respondCompletely });
  engines = [
    await serveSiteEndpoint({ id: 'engine-1', handle: streamCompletely }),
    await serveSiteEndpoint({ id: 'engine-2', handle: streamCompletely }),
  ];
});

after(async () => {
  await Promise.all([node.node.leave(), peer.node.leave()]);
  await store.close();
  await Promise.all([first, second, ...engines].map((endpoint) => endpoint.crash()));
});

test('a node without a configuration is not ready and refuses requests as not executed', async () => {
  const response = await sendCallerRequest({ address: node.callers, path: '/look/x' });
  assert.equal(response.status, 503);
  assert.equal(readCode(response), 1509);
  assert.ok(response.headers['retry-after']);
  assert.equal((await sendCallerRequest({ address: node.readiness, path: '/readyz' })).status, 503);
});

test('ignores an unreadable configuration and foreign entries in the store', async () => {
  store.put('op/config', '{"version": "seven"');
  store.put('servers/stranger', { service: 7, address: 'nowhere' });
  store.put('servers/noise', '\u0000\u0001');
  registerEndpoint(store, first, PLAIN_SERVICE);
  registerEndpoint(store, second, PLAIN_SERVICE);
  for (const engine of engines) registerEndpoint(store, engine, MODEL_SERVICE);
  store.put('op/config', createPlatformConfiguration(3));
  await Promise.all([waitUntilReady(node), waitUntilReady(peer)]);
  const isLogged = node.logs.some((line) => line.includes('configuration-unreadable'));
  assert.ok(isLogged);
});

test('orders empty engines to load every layer', async () => {
  await waitFor('the engines host all layers', () =>
    [0, 1, 2, 3].every((layer) =>
      engines.some(({ layers }) => layers && layers.from <= layer && layer < layers.to),
    ),
  );
  await waitFor('a stream is served', async () => {
    const response = await sendCallerRequest({
      address: node.callers,
      path: '/ask/x',
      method: 'POST',
      body: 'q',
    });
    return response.status === 200;
  });
});

test('forwards a request unchanged, with the name of the account and without its key', async () => {
  resetEndpoints();
  const response = await sendCallerRequest({
    address: node.callers,
    path: '/book/a%20b?x=1',
    method: 'POST',
    body: '{"bay":5}',
    headers: {
      Tenant: 'forged',
      'Hop-Count': '10.0.0.1:80=0-80',
      'Expect-Instance': 'forged',
      'X-Own': 'kept',
      Connection: 'X-Hop',
      'X-Hop': 'dropped',
    },
  });
  assert.equal(response.status, 200);
  assert.equal(response.headers['server-seal'], 'sealed');
  assert.match(response.body, /^done by plain-/);
  const [received] = [...first.received, ...second.received];
  assert.ok(received);
  assert.equal(received.url, '/book/a%20b?x=1');
  assert.equal(received.body, '{"bay":5}');
  assert.equal(received.headers.tenant, 'kiosk');
  assert.equal(received.headers.credential, undefined);
  assert.equal(received.headers['hop-count'], undefined);
  assert.match(String(received.headers['expect-instance']), /^plain-/);
  assert.equal(received.headers['x-own'], 'kept');
  assert.equal(received.headers['x-hop'], undefined);
  assert.ok(Number(received.headers['deadline-ms']) <= 900);
});

test('refuses unknown routes, unknown keys and large bodies, each with its own result code', async () => {
  const address = node.callers;
  const unrouted = await sendCallerRequest({ address, path: '/nowhere/' });
  assert.deepEqual([unrouted.status, readCode(unrouted)], [404, 1404]);
  const otherHost = await sendCallerRequest({
    address,
    path: '/look/',
    headers: { Host: 'other.example' },
  });
  assert.equal(otherHost.status, 404);
  const unauthorized = await sendCallerRequest({
    address,
    path: '/look/',
    headers: { Credential: 'no' },
  });
  assert.deepEqual([unauthorized.status, readCode(unauthorized)], [401, 1401]);
  const large = await sendCallerRequest({
    address,
    path: '/book/',
    method: 'POST',
    body: 'x'.repeat(5_000),
  });
  assert.deepEqual([large.status, readCode(large)], [413, 1413]);
});

/** Sends bytes on a new connection; resolves to the received text once the connection is closed. */
function sendRaw(bytes: string): Promise<string> {
  const [host, port] = node.callers.split(':');
  let text = '';
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => {
      socket.write(bytes);
    });
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(text);
    });
  });
}

test('responds to bytes that are not HTTP with 400 and closes only their connection', async () => {
  const response = await sendRaw('GET / HTTP/9.9\r\n\u0000garbage\r\n\r\n');
  assert.match(response, /^HTTP\/1\.1 400 .*"code":1400/s);
  assert.equal((await sendCallerRequest({ address: node.callers, path: '/look/' })).status, 200);
});

test('does not forward a request with ambiguous framing', async () => {
  resetEndpoints();
  const head = `POST /book/ HTTP/1.1\r\nHost: desk.example\r\nCredential: ${KEY}\r\n`;
  const framing = 'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n';
  const smuggled = '0\r\n\r\nGET /look/smuggled HTTP/1.1\r\nHost: desk.example\r\n\r\n';
  const response = await sendRaw(`${head}${framing}${smuggled}`);
  assert.match(response, /^HTTP\/1\.1 400 /);
  assert.equal(countReceived([first, second]), 0);
});

test('refuses a header block beyond the limit of the node or of the parser with 431', async () => {
  const address = node.callers;
  const large = { 'X-Large': 'x'.repeat(9_000) };
  const refused = await sendCallerRequest({ address, path: '/look/', headers: large });
  assert.deepEqual([refused.status, readCode(refused)], [431, 1431]);
  const response = await sendRaw(`GET /look/ HTTP/1.1\r\nX-Large: ${'x'.repeat(40_000)}\r\n\r\n`);
  assert.match(response, /^HTTP\/1\.1 431 .*"code":1431/s);
});

test('refuses a body that does not arrive in time with 408 and closes its connection', async () => {
  const head = `POST /book/ HTTP/1.1\r\nHost: desk.example\r\nCredential: ${KEY}\r\n`;
  const response = await sendRaw(`${head}Content-Length: 100\r\n\r\nhalf`);
  assert.match(response, /^HTTP\/1\.1 408 .*"code":1408/s);
});

test('a response sent before the body was read does not affect later requests on the connection', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) {
    endpoint.handleBeforeBody = (request, response) => {
      response.writeHead(413, { ...createEndpointHeaders(request), Connection: 'keep-alive' });
      response.end('early');
    };
  }
  const body = 'x'.repeat(2_000);
  const early = await sendCallerRequest({
    address: node.callers,
    path: '/book/',
    method: 'POST',
    body,
  });
  assert.deepEqual([early.status, early.body], [413, 'early']);
  for (const endpoint of [first, second]) endpoint.handleBeforeBody = undefined;
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/book/',
    method: 'POST',
    body,
  });
  assert.equal(callerResponse.status, 200);
});

test('retries a safe request at another endpoint after a failure', async () => {
  resetEndpoints();
  first.handle = failWith(500);
  second.handle = respondCompletely;
  for (let round = 0; round < 6; round += 1) {
    const response = await sendCallerRequest({ address: node.callers, path: '/look/' });
    assert.equal(response.status, 200);
    assert.equal(response.body, 'done by plain-2');
  }
});

test('does not resend an unsafe request whose connection was closed without a response', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) {
    endpoint.handle = (_, response) => {
      response.destroy();
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/book/',
    method: 'POST',
    body: 'b',
  });
  assert.deepEqual([callerResponse.status, readCode(callerResponse)], [502, 1510]);
  assert.equal(callerResponse.headers['retry-after'], undefined);
  assert.equal(countReceived([first, second]), 1);
});

test('refuses a request that the endpoints did not execute, with a Retry-After header', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) {
    endpoint.handle = (request, response) => {
      response.writeHead(503, { ...createEndpointHeaders(request), 'Not-Executed': '1' });
      response.end();
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/book/',
    method: 'POST',
    body: 'b',
  });
  assert.deepEqual([callerResponse.status, readCode(callerResponse)], [503, 1504]);
  assert.ok(callerResponse.headers['retry-after']);
});

test('never forwards a response to another request, without the server-seal header, or truncated', async () => {
  resetEndpoints();
  const wrong: EndpointHandler[] = [
    (request, response) => {
      response.writeHead(200, { ...createEndpointHeaders(request), 'Attempt-Id': 'other' });
      response.end('of another');
    },
    (_, response) => {
      response.writeHead(200);
      response.end('unsealed');
    },
    (request, response) => {
      response.writeHead(200, { ...createEndpointHeaders(request), 'Content-Length': '100' });
      response.write('short');
      setTimeout(() => response.destroy(), 20);
    },
  ];
  for (const behave of wrong) {
    first.handle = behave;
    second.handle = behave;
    const response = await sendCallerRequest({
      address: node.callers,
      path: '/book/',
      method: 'POST',
      body: 'b',
    });
    assert.equal(response.status, 502);
  }
});

test('responds with a final error at the time limit of the route when no endpoint responds', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) endpoint.handle = () => undefined;
  const response = await sendCallerRequest({
    address: node.callers,
    path: '/book/',
    method: 'POST',
    body: 'b',
  });
  assert.deepEqual([response.status, readCode(response)], [504, 1506]);
  await waitFor('the connection to the endpoint is closed', () =>
    [...first.received, ...second.received].every(({ wasAborted }) => wasAborted),
  );
});

test('does not report a stream as not executed at its deadline when an engine may have begun it', async () => {
  resetEndpoints();
  for (const engine of engines) engine.handle = () => undefined;
  const headers = { 'Deadline-Ms': '700' };
  const streamRequest = {
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    headers,
  };
  const response = await sendCallerRequest(streamRequest);
  assert.deepEqual([response.status, readCode(response)], [504, 1506]);
  assert.equal(response.headers['retry-after'], undefined);
});

test('closes the connection to the endpoint when the caller disconnects', async () => {
  resetEndpoints();
  for (const engine of engines) {
    engine.handle = (request, response) => {
      writeEvents(request, response, 2);
    };
  }
  await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    onData: (_, hangUp) => {
      hangUp();
    },
  });
  await waitFor('the connection to the engine is closed', () =>
    engines.some(({ received }) => received.some(({ wasAborted }) => wasAborted)),
  );
});

test('continues a stream that was cut after its last complete event', async () => {
  resetEndpoints();
  let runs = 0;
  for (const engine of engines) {
    engine.handle = (request, response) => {
      runs += 1;
      if (runs > 1) {
        streamCompletely(request, response, engine);
        return;
      }
      writeEvents(request, response, 2);
      response.write('id: 3\nda');
      setTimeout(() => response.destroy(), 20);
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
  });
  assert.equal(runs, 2);
  assert.equal(callerResponse.body, COMPLETE_STREAM);
  assert.ok(callerResponse.isComplete);
  const resumed = engines
    .flatMap(({ received }) => received)
    .map(({ headers }) => headers['last-event-id']);
  assert.ok(resumed.includes('2'));
});

test('restarts a run at another endpoint when its first endpoint closes the connection', async () => {
  resetEndpoints();
  const [failing, slow] = engines;
  assert.ok(failing && slow);
  // The other endpoint is slower, so that a choice by expected time alone would repeat the failed
  // one.
  slow.slowdown = 9;
  await waitFor('the node has the load report of the slow engine', async () => {
    const { body } = await sendCallerRequest({ address: node.readiness, path: '/v1/status' });
    const { endpoints } = siteStatusSchema.parse(JSON.parse(body));
    return endpoints.some(({ endpoint, pace }) => endpoint === slow.id && pace > 1);
  });
  failing.handle = (_, response) => {
    response.destroy();
  };
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
  });
  slow.slowdown = 1;
  assert.equal(callerResponse.status, 200);
  assert.equal(callerResponse.body, COMPLETE_STREAM);
  assert.equal(failing.received.length, 1, 'the failed endpoint was tried once');
});

test('resumes a stream after the event that the caller names in Last-Event-Id', async () => {
  resetEndpoints();
  const headers = { 'Last-Event-Id': '3' };
  const resumingRequest = {
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    headers,
  };
  const response = await sendCallerRequest(resumingRequest);
  assert.equal(response.body, 'id: 4\ndata: t4\n\nid: 5\ndata: t5\n\n');
});

test('does not forward events that are out of order or repeated', async () => {
  resetEndpoints();
  let runs = 0;
  for (const engine of engines) {
    engine.handle = (request, response) => {
      runs += 1;
      writeEvents(request, response, 2);
      if (runs === 1) response.end('id: 2\ndata: again\n\nid: 5\ndata: gap\n\n');
      else response.end('id: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n');
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
  });
  assert.equal(callerResponse.body, COMPLETE_STREAM);
});

test('a stream that fails on every path does not end as complete', async () => {
  resetEndpoints();
  for (const engine of engines) {
    engine.handle = (request, response) => {
      writeEvents(request, response, 2);
      setTimeout(() => response.destroy(), 20);
    };
  }
  const callerResponse = await sendCallerRequest({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
  });
  assert.equal(callerResponse.isComplete, false);
  assert.ok(COMPLETE_STREAM.startsWith(callerResponse.body));
});

test('an older or unreadable version never replaces the configuration in force', async () => {
  resetEndpoints();
  const withoutLook = { routes: [] };
  store.put('op/config', createPlatformConfiguration(2, withoutLook));
  store.put('op/config', 'nothing');
  store.put(
    'op/config',
    createPlatformConfiguration(9, { tenants: [{ name: 'shop', api_keys: ['key-2'] }] }),
  );
  await waitFor('the new key is accepted', async () => {
    const headers = { Credential: 'key-2' };
    return (
      (await sendCallerRequest({ address: peer.callers, path: '/look/', headers })).status === 200
    );
  });
  assert.equal((await sendCallerRequest({ address: peer.callers, path: '/look/' })).status, 401);
  store.put('op/config', createPlatformConfiguration(10));
  await waitFor('the old key is accepted again', async () => {
    const responses = await Promise.all(
      [node, peer].map(({ callers }) => sendCallerRequest({ address: callers, path: '/look/' })),
    );
    return responses.every(({ status }) => status === 200);
  });
});

test('serves requests while the store is down and after it has lost its change history', async () => {
  resetEndpoints();
  store.faults.add({ kind: 'down' });
  store.dropConnections();
  for (let round = 0; round < 5; round += 1) {
    assert.equal((await sendCallerRequest({ address: node.callers, path: '/look/' })).status, 200);
  }
  store.faults.clear();
  store.compactHistory();
  store.put(
    'op/config',
    createPlatformConfiguration(12, { tenants: [{ name: 'kiosk', api_keys: ['key-1', 'key-3'] }] }),
  );
  await waitFor('the version written after the outage is in force', async () => {
    const headers = { Credential: 'key-3' };
    return (
      (await sendCallerRequest({ address: node.callers, path: '/look/', headers })).status === 200
    );
  });
});

test('sends no new requests to a draining or deregistered endpoint', async () => {
  resetEndpoints();
  registerEndpoint(store, first, PLAIN_SERVICE, { state: 'draining' });
  await waitFor('the draining endpoint receives no requests', async () => {
    first.received.length = 0;
    for (let round = 0; round < 4; round += 1)
      await sendCallerRequest({ address: node.callers, path: '/look/' });
    return first.received.length === 0;
  });
  store.remove(`servers/${second.id}`);
  await waitFor('no endpoint is usable', async () => {
    const response = await sendCallerRequest({ address: node.callers, path: '/look/' });
    return response.status === 503 && readCode(response) === 1504;
  });
  registerEndpoint(store, first, PLAIN_SERVICE, { born: 2_000 });
  registerEndpoint(store, second, PLAIN_SERVICE);
  await waitFor('both endpoints receive requests again', async () => {
    for (let round = 0; round < 4; round += 1)
      await sendCallerRequest({ address: node.callers, path: '/look/' });
    return first.received.length > 0 && second.received.length > 0;
  });
});

test('lists both nodes to callers, and removes a node that leaves', async () => {
  const resolveAddresses = async (): Promise<string[]> => {
    const path = '/resolve?name=desk.example&region=r&zone=mission';
    const { body } = await sendCallerRequest({ address: node.directory, path });
    return (JSON.parse(body) as { addresses: string[] }).addresses;
  };
  await waitFor('both nodes are listed', async () => (await resolveAddresses()).length === 2);
  const departure = peer.node.leave();
  const response = await sendCallerRequest({ address: peer.callers, path: '/look/' });
  assert.equal(response.status, 200);
  assert.equal(response.headers.connection, 'close');
  assert.equal((await sendCallerRequest({ address: peer.readiness, path: '/readyz' })).status, 503);
  await waitFor(
    'only the remaining node is listed',
    async () => (await resolveAddresses()).length === 1,
  );
  await departure;
});

test('a leaving node near its shutdown refuses streams, which another node can run completely', async () => {
  // A new node reads the layers that the engines host from the registry.
  for (const engine of engines) {
    registerEndpoint(store, engine, MODEL_SERVICE, { layers: engine.layers });
  }
  const leaving = await startNode('node-3', store, { graceMilliseconds: 6_000 });
  await waitUntilReady(leaving);
  const departure = leaving.node.leave();
  const streamRequest = { address: leaving.callers, path: '/ask/', method: 'POST', body: 'q' };
  assert.notEqual((await sendCallerRequest(streamRequest)).status, 503);
  await waitFor('streams are refused', async () => {
    const response = await sendCallerRequest(streamRequest);
    return response.status === 503 && readCode(response) === 1511;
  });
  assert.equal((await sendCallerRequest({ address: leaving.callers, path: '/look/' })).status, 200);
  await departure;
});

test('each log line is in the table of log events and contains no key', () => {
  const common = ['timestamp', 'node', 'availabilityZone', 'level', 'message', 'leftOut'];
  const lines = [...node.logs, ...peer.logs];
  assert.ok(lines.length > 50);
  for (const line of lines) {
    const fields = JSON.parse(line) as Record<string, unknown>;
    const { message, level } = fields;
    assert.ok(typeof message === 'string' && message in LOG_EVENTS, line);
    const event = LOG_EVENTS[message as LogEventName];
    const own = Object.entries(fields).filter(([name]) => !common.includes(name));
    assert.ok(event.fields.safeParse(Object.fromEntries(own)).success, line);
    assert.equal(level, event.level);
    assert.ok(!line.includes(KEY));
  }
});

test('metrics count requests and contain no key', async () => {
  const { body } = await sendCallerRequest({ address: node.readiness, path: '/metrics' });
  assert.match(body, /marjoramcleat_requests\{label="stream"\} \d+/);
  assert.match(body, /marjoramcleat_latency_ms\{account="kiosk",kind="safe",quantile="95"\} \d+/);
  assert.ok(!body.includes('key-1'));
});

test('serves status, gauges and histograms to operators on the readiness address', async () => {
  const { body } = await sendCallerRequest({ address: node.readiness, path: '/v1/status' });
  const status = siteStatusSchema.parse(JSON.parse(body));
  assert.equal(status.node, 'node-1');
  assert.ok(status.version > 0 && status.isStoreReachable);
  assert.ok(status.services.some(({ service }) => service === MODEL_SERVICE));
  assert.ok(status.room.some(({ tokens }) => tokens > 0));
  const metrics = await sendCallerRequest({ address: node.readiness, path: '/metrics' });
  for (const name of ['configuration_version', 'store_reachable', 'retries_left', 'room_tokens']) {
    assert.match(metrics.body, new RegExp(`^marjoramcleat_${name}`, 'm'));
  }
  const listed = await sendCallerRequest({ address: node.readiness, path: '/v1/histograms' });
  assert.ok((JSON.parse(listed.body) as unknown[]).length > 0);
});

test('the tests above produced each result code that only nodes of a site return', () => {
  for (const code of [1401, 1404, 1413, 1431, 1504, 1506, 1509, 1510, 1511]) {
    assert.ok(seenCodes.has(code), String(code));
  }
});
