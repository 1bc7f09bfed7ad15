/**
 * Whole nodes of a site: what callers get while endpoints, the store and nodes fail.
 */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import {
  createSeal,
  serveSiteEndpoint,
  writeEvents,
  type Behaviour,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import { siteStatusSchema } from '../src/process/site/describeSite/index.js';
import { LOG_EVENTS, type LogEventName } from '../src/process/site/logEvents/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  answerWhole,
  streamWhole,
  WHOLE_STREAM,
  call,
  createWireConfiguration,
  KEY,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type CallerAnswer,
  type TestNode,
} from './support/siteNodes/index.js';

const failWith =
  (status: number, extra: Record<string, string> = {}): Behaviour =>
  (request, response) => {
    response.writeHead(status, { ...createSeal(request), ...extra });
    response.end('failed');
  };

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let first: SiteEndpoint;
let second: SiteEndpoint;
let engines: SiteEndpoint[];
const provoked = new Set<number>();

function readCode({ body }: CallerAnswer): number {
  const { error } = JSON.parse(body) as { error: { code: number } };
  provoked.add(error.code);
  return error.code;
}

function resetEndpoints(): void {
  for (const endpoint of [first, second]) Object.assign(endpoint, { behave: answerWhole });
  for (const engine of engines) Object.assign(engine, { behave: streamWhole, stalled: [] });
  for (const endpoint of [first, second, ...engines]) endpoint.received.length = 0;
}

function listRuns(endpoints: readonly SiteEndpoint[]): number {
  return endpoints.reduce((sum, { received }) => sum + received.length, 0);
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  first = await serveSiteEndpoint({ id: 'plain-1', behave: answerWhole });
  second = await serveSiteEndpoint({ id: 'plain-2', behave: answerWhole });
  engines = [
    await serveSiteEndpoint({ id: 'engine-1', behave: streamWhole }),
    await serveSiteEndpoint({ id: 'engine-2', behave: streamWhole }),
  ];
});

after(async () => {
  await Promise.all([node.node.leave(), peer.node.leave()]);
  await store.close();
  await Promise.all([first, second, ...engines].map((endpoint) => endpoint.crash()));
});

test('without a configuration a node is not ready and promises that nothing ran', async () => {
  const answer = await call({ address: node.callers, path: '/look/x' });
  assert.equal(answer.status, 503);
  assert.equal(readCode(answer), 1509);
  assert.ok(answer.headers['retry-after']);
  assert.equal((await call({ address: node.readiness, path: '/readyz' })).status, 503);
});

test('an unreadable configuration and entries by other writers change nothing', async () => {
  store.put('op/config', '{"version": "seven"');
  store.put('servers/stranger', { service: 7, address: 'nowhere' });
  store.put('servers/noise', '\u0000\u0001');
  registerEndpoint(store, first, PLAIN_SERVICE);
  registerEndpoint(store, second, PLAIN_SERVICE);
  for (const engine of engines) registerEndpoint(store, engine, MODEL_SERVICE);
  store.put('op/config', createWireConfiguration(3));
  await Promise.all([waitUntilReady(node), waitUntilReady(peer)]);
  const isLogged = node.logs.some((line) => line.includes('configuration-unreadable'));
  assert.ok(isLogged);
});

test('empty engines are ordered to hold every layer', async () => {
  await waitFor('the engines hold all layers', () =>
    [0, 1, 2, 3].every((layer) =>
      engines.some(({ layers }) => layers && layers.from <= layer && layer < layers.to),
    ),
  );
  await waitFor('a stream is served', async () => {
    const answer = await call({ address: node.callers, path: '/ask/x', method: 'POST', body: 'q' });
    return answer.status === 200;
  });
});

test('a request goes through unchanged, with the account and without the key', async () => {
  resetEndpoints();
  const answer = await call({
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
  assert.equal(answer.status, 200);
  assert.equal(answer.headers['server-seal'], 'sealed');
  assert.match(answer.body, /^done by plain-/);
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

test('what no route, key or limit allows is refused with a code of its own', async () => {
  const address = node.callers;
  const lost = await call({ address, path: '/nowhere/' });
  assert.deepEqual([lost.status, readCode(lost)], [404, 1404]);
  const otherHost = await call({ address, path: '/look/', headers: { Host: 'other.example' } });
  assert.equal(otherHost.status, 404);
  const stranger = await call({ address, path: '/look/', headers: { Credential: 'no' } });
  assert.deepEqual([stranger.status, readCode(stranger)], [401, 1401]);
  const large = await call({ address, path: '/book/', method: 'POST', body: 'x'.repeat(5_000) });
  assert.deepEqual([large.status, readCode(large)], [413, 1413]);
});

/** Sends bytes on a connection of their own; resolves to what came back when it is closed. */
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

test('bytes that are no request are answered with 400 and end their connection only', async () => {
  const answer = await sendRaw('GET / HTTP/9.9\r\n\u0000garbage\r\n\r\n');
  assert.match(answer, /^HTTP\/1\.1 400 .*"code":1400/s);
  assert.equal((await call({ address: node.callers, path: '/look/' })).status, 200);
});

test('a request whose framing is ambiguous is not passed on', async () => {
  resetEndpoints();
  const head = `POST /book/ HTTP/1.1\r\nHost: desk.example\r\nCredential: ${KEY}\r\n`;
  const framing = 'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n';
  const smuggled = '0\r\n\r\nGET /look/smuggled HTTP/1.1\r\nHost: desk.example\r\n\r\n';
  const answer = await sendRaw(`${head}${framing}${smuggled}`);
  assert.match(answer, /^HTTP\/1\.1 400 /);
  assert.equal(listRuns([first, second]), 0);
});

test('header blocks beyond the limit are refused with 431, by the limit or by the parser', async () => {
  const address = node.callers;
  const large = { 'X-Large': 'x'.repeat(9_000) };
  const refused = await call({ address, path: '/look/', headers: large });
  assert.deepEqual([refused.status, readCode(refused)], [431, 1431]);
  const answer = await sendRaw(`GET /look/ HTTP/1.1\r\nX-Large: ${'x'.repeat(40_000)}\r\n\r\n`);
  assert.match(answer, /^HTTP\/1\.1 431 .*"code":1431/s);
});

test('a body that does not arrive in time is refused with 408 and closes its connection', async () => {
  const head = `POST /book/ HTTP/1.1\r\nHost: desk.example\r\nCredential: ${KEY}\r\n`;
  const answer = await sendRaw(`${head}Content-Length: 100\r\n\r\nhalf`);
  assert.match(answer, /^HTTP\/1\.1 408 .*"code":1408/s);
});

test('an endpoint that answers before it has read the body harms no later request', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) {
    endpoint.behaveEarly = (request, response) => {
      response.writeHead(413, { ...createSeal(request), Connection: 'keep-alive' });
      response.end('early');
    };
  }
  const body = 'x'.repeat(2_000);
  const early = await call({ address: node.callers, path: '/book/', method: 'POST', body });
  assert.deepEqual([early.status, early.body], [413, 'early']);
  for (const endpoint of [first, second]) endpoint.behaveEarly = undefined;
  const answer = await call({ address: node.callers, path: '/book/', method: 'POST', body });
  assert.equal(answer.status, 200);
});

test('a safe request is tried at another endpoint after a failure', async () => {
  resetEndpoints();
  first.behave = failWith(500);
  second.behave = answerWhole;
  for (let round = 0; round < 6; round += 1) {
    const answer = await call({ address: node.callers, path: '/look/' });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'done by plain-2');
  }
});

test('a request that may run once is not sent again after its connection was cut', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) {
    endpoint.behave = (_, response) => {
      response.destroy();
    };
  }
  const answer = await call({ address: node.callers, path: '/book/', method: 'POST', body: 'b' });
  assert.deepEqual([answer.status, readCode(answer)], [502, 1510]);
  assert.equal(answer.headers['retry-after'], undefined);
  assert.equal(listRuns([first, second]), 1);
});

test('a request that the endpoint says did not run is refused with a time to come back', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) {
    endpoint.behave = (_, response) => {
      response.writeHead(503, { 'Not-Executed': '1' });
      response.end();
    };
  }
  const answer = await call({ address: node.callers, path: '/book/', method: 'POST', body: 'b' });
  assert.deepEqual([answer.status, readCode(answer)], [503, 1504]);
  assert.ok(answer.headers['retry-after']);
});

test('an answer to another request, or one without a seal, is never passed on', async () => {
  resetEndpoints();
  const wrong: Behaviour[] = [
    (request, response) => {
      response.writeHead(200, { ...createSeal(request), 'Attempt-Id': 'other' });
      response.end('of another');
    },
    (_, response) => {
      response.writeHead(200);
      response.end('unsealed');
    },
    (request, response) => {
      response.writeHead(200, { ...createSeal(request), 'Content-Length': '100' });
      response.write('short');
      setTimeout(() => response.destroy(), 20);
    },
  ];
  for (const behave of wrong) {
    first.behave = behave;
    second.behave = behave;
    const answer = await call({ address: node.callers, path: '/book/', method: 'POST', body: 'b' });
    assert.equal(answer.status, 502);
  }
});

test('an endpoint that stays mute ends in a final answer at the time of the route', async () => {
  resetEndpoints();
  for (const endpoint of [first, second]) endpoint.behave = () => undefined;
  const answer = await call({ address: node.callers, path: '/book/', method: 'POST', body: 'b' });
  assert.deepEqual([answer.status, readCode(answer)], [504, 1506]);
  await waitFor('the endpoint is freed', () =>
    [...first.received, ...second.received].every(({ wasCut }) => wasCut),
  );
});

test('a stream that may have begun is not told that it has not run when its time is up', async () => {
  resetEndpoints();
  for (const engine of engines) engine.behave = () => undefined;
  const headers = { 'Deadline-Ms': '700' };
  const ask = { address: node.callers, path: '/ask/', method: 'POST', body: 'q', headers };
  const answer = await call(ask);
  assert.deepEqual([answer.status, readCode(answer)], [504, 1506]);
  assert.equal(answer.headers['retry-after'], undefined);
});

test('a caller that hangs up frees the endpoint', async () => {
  resetEndpoints();
  for (const engine of engines) {
    engine.behave = (request, response) => {
      writeEvents(request, response, 2);
    };
  }
  await call({
    address: node.callers,
    path: '/ask/',
    method: 'POST',
    body: 'q',
    onData: (_, hangUp) => {
      hangUp();
    },
  });
  await waitFor('the engine is freed', () =>
    engines.some(({ received }) => received.some(({ wasCut }) => wasCut)),
  );
});

test('a stream that breaks off goes on after its last whole event', async () => {
  resetEndpoints();
  let runs = 0;
  for (const engine of engines) {
    engine.behave = (request, response) => {
      runs += 1;
      if (runs > 1) {
        streamWhole(request, response, engine);
        return;
      }
      writeEvents(request, response, 2);
      response.write('id: 3\nda');
      setTimeout(() => response.destroy(), 20);
    };
  }
  const answer = await call({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
  assert.equal(runs, 2);
  assert.equal(answer.body, WHOLE_STREAM);
  assert.ok(answer.isWhole);
  const resumed = engines
    .flatMap(({ received }) => received)
    .map(({ headers }) => headers['last-event-id']);
  assert.ok(resumed.includes('2'));
});

test('a run that its first endpoint breaks off is begun anew at another one', async () => {
  resetEndpoints();
  const [broken, slow] = engines;
  assert.ok(broken && slow);
  // The other one is slower, so that each choice by time alone would be the broken one again.
  slow.pace = 9;
  await waitFor('the node knows the slow engine', async () => {
    const { body } = await call({ address: node.readiness, path: '/v1/status' });
    const { endpoints } = siteStatusSchema.parse(JSON.parse(body));
    return endpoints.some(({ endpoint, pace }) => endpoint === slow.id && pace > 1);
  });
  broken.behave = (_, response) => {
    response.destroy();
  };
  const answer = await call({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
  slow.pace = 1;
  assert.equal(answer.status, 200);
  assert.equal(answer.body, WHOLE_STREAM);
  assert.equal(broken.received.length, 1, 'the broken one was tried once');
});

test('a caller resumes after the event that it has', async () => {
  resetEndpoints();
  const headers = { 'Last-Event-Id': '3' };
  const call1 = { address: node.callers, path: '/ask/', method: 'POST', body: 'q', headers };
  const answer = await call(call1);
  assert.equal(answer.body, 'id: 4\ndata: t4\n\nid: 5\ndata: t5\n\n');
});

test('events that are out of order, or come twice, are not passed on', async () => {
  resetEndpoints();
  let runs = 0;
  for (const engine of engines) {
    engine.behave = (request, response) => {
      runs += 1;
      writeEvents(request, response, 2);
      if (runs === 1) response.end('id: 2\ndata: again\n\nid: 5\ndata: gap\n\n');
      else response.end('id: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n');
    };
  }
  const answer = await call({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
  assert.equal(answer.body, WHOLE_STREAM);
});

test('a stream that fails on every path ends without looking whole', async () => {
  resetEndpoints();
  for (const engine of engines) {
    engine.behave = (request, response) => {
      writeEvents(request, response, 2);
      setTimeout(() => response.destroy(), 20);
    };
  }
  const answer = await call({ address: node.callers, path: '/ask/', method: 'POST', body: 'q' });
  assert.equal(answer.isWhole, false);
  assert.ok(WHOLE_STREAM.startsWith(answer.body));
});

test('an older or unreadable version never takes the place of the one in force', async () => {
  resetEndpoints();
  const withoutLook = { routes: [] };
  store.put('op/config', createWireConfiguration(2, withoutLook));
  store.put('op/config', 'nothing');
  store.put(
    'op/config',
    createWireConfiguration(9, { tenants: [{ name: 'shop', api_keys: ['key-2'] }] }),
  );
  await waitFor('the new key counts', async () => {
    const headers = { Credential: 'key-2' };
    return (await call({ address: peer.callers, path: '/look/', headers })).status === 200;
  });
  assert.equal((await call({ address: peer.callers, path: '/look/' })).status, 401);
  store.put('op/config', createWireConfiguration(10));
  await waitFor('the old key counts again', async () => {
    const answers = await Promise.all(
      [node, peer].map(({ callers }) => call({ address: callers, path: '/look/' })),
    );
    return answers.every(({ status }) => status === 200);
  });
});

test('a store that is down or forgets its history stops no request', async () => {
  resetEndpoints();
  store.faults.add({ kind: 'down' });
  store.dropConnections();
  for (let round = 0; round < 5; round += 1) {
    assert.equal((await call({ address: node.callers, path: '/look/' })).status, 200);
  }
  store.faults.clear();
  store.forgetHistory();
  store.put(
    'op/config',
    createWireConfiguration(12, { tenants: [{ name: 'kiosk', api_keys: ['key-1', 'key-3'] }] }),
  );
  await waitFor('the version after the outage counts', async () => {
    const headers = { Credential: 'key-3' };
    return (await call({ address: node.callers, path: '/look/', headers })).status === 200;
  });
});

test('an endpoint that is draining or gone gets no new requests', async () => {
  resetEndpoints();
  registerEndpoint(store, first, PLAIN_SERVICE, { state: 'draining' });
  await waitFor('the draining endpoint is left alone', async () => {
    first.received.length = 0;
    for (let round = 0; round < 4; round += 1)
      await call({ address: node.callers, path: '/look/' });
    return first.received.length === 0;
  });
  store.remove(`servers/${second.id}`);
  await waitFor('no endpoint is left', async () => {
    const answer = await call({ address: node.callers, path: '/look/' });
    return answer.status === 503 && readCode(answer) === 1504;
  });
  registerEndpoint(store, first, PLAIN_SERVICE, { born: 2_000 });
  registerEndpoint(store, second, PLAIN_SERVICE);
  await waitFor('both serve again', async () => {
    for (let round = 0; round < 4; round += 1)
      await call({ address: node.callers, path: '/look/' });
    return first.received.length > 0 && second.received.length > 0;
  });
});

test('callers are told of both nodes, and no longer of one that leaves', async () => {
  const ask = async (): Promise<string[]> => {
    const path = '/resolve?name=desk.example&region=r&zone=mission';
    const { body } = await call({ address: node.directory, path });
    return (JSON.parse(body) as { addresses: string[] }).addresses;
  };
  await waitFor('both nodes are named', async () => (await ask()).length === 2);
  const left = peer.node.leave();
  const answer = await call({ address: peer.callers, path: '/look/' });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers.connection, 'close');
  assert.equal((await call({ address: peer.readiness, path: '/readyz' })).status, 503);
  await waitFor('only the other node is named', async () => (await ask()).length === 1);
  await left;
});

test('a node that leaves late refuses streams that another node can run whole', async () => {
  // The registry tells a new node which layers the engines hold.
  for (const engine of engines) {
    registerEndpoint(store, engine, MODEL_SERVICE, { layers: engine.layers });
  }
  const leaving = await startNode('node-3', store, { graceMilliseconds: 6_000 });
  await waitUntilReady(leaving);
  const left = leaving.node.leave();
  const ask = { address: leaving.callers, path: '/ask/', method: 'POST', body: 'q' };
  assert.notEqual((await call(ask)).status, 503);
  await waitFor('streams are refused', async () => {
    const answer = await call(ask);
    return answer.status === 503 && readCode(answer) === 1511;
  });
  assert.equal((await call({ address: leaving.callers, path: '/look/' })).status, 200);
  await left;
});

test('each line that the nodes wrote is in the table of log events, and holds no key', () => {
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

test('metrics count requests, and hold no key', async () => {
  const { body } = await call({ address: node.readiness, path: '/metrics' });
  assert.match(body, /marjoramcleat_requests\{label="stream"\} \d+/);
  assert.match(body, /marjoramcleat_latency_ms\{account="kiosk",kind="safe",quantile="95"\} \d+/);
  assert.ok(!body.includes('key-1'));
});

test('a node tells operators its status and gauges on its readiness address', async () => {
  const { body } = await call({ address: node.readiness, path: '/v1/status' });
  const status = siteStatusSchema.parse(JSON.parse(body));
  assert.equal(status.node, 'node-1');
  assert.ok(status.version > 0 && status.isStoreReachable);
  assert.ok(status.services.some(({ service }) => service === MODEL_SERVICE));
  assert.ok(status.room.some(({ tokens }) => tokens > 0));
  const metrics = await call({ address: node.readiness, path: '/metrics' });
  for (const name of ['configuration_version', 'store_reachable', 'retries_left', 'room_tokens']) {
    assert.match(metrics.body, new RegExp(`^marjoramcleat_${name}`, 'm'));
  }
  const listed = await call({ address: node.readiness, path: '/v1/histograms' });
  assert.ok((JSON.parse(listed.body) as unknown[]).length > 0);
});

test('the codes that only a site can give were provoked', () => {
  for (const code of [1401, 1404, 1413, 1431, 1504, 1506, 1509, 1510, 1511]) {
    assert.ok(provoked.has(code), String(code));
  }
});
