import assert from 'node:assert/strict';
import { createServer, type IncomingHttpHeaders } from 'node:http';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { createSiteProtocol } from '../../../../platform/createSiteProtocol/index.js';
import type { CallerResponse } from '../../../types/relay/index.js';
import { createParserErrorResponder } from '../../runtime/createParserErrorResponder/index.js';
import type { Relay } from '../createRelay/index.js';
import { createCallerHandler } from './index.js';

/** More than the operating system takes at once. */
const LARGE_BODY_BYTES = 8_000_000;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

/** Serves requests with a relay that never ends one by itself. */
async function serveRelay(context: TestContext, relayRequest: (response: CallerResponse) => void) {
  const counted: string[] = [];
  const relay = {
    waitForStart: () => Promise.resolve(),
    admit: () => ({
      kind: 'admitted',
      compiled: {
        configuration: { limits: { bodyBytes: 1_000, headerTimeoutMilliseconds: 1_000 } },
      },
    }),
    run: ({ response }: { readonly response: CallerResponse }) =>
      new Promise(() => {
        relayRequest(response);
      }),
  };
  const handler = createCallerHandler({
    relay: relay as unknown as Relay,
    headerTranslator: {
      parseRequestHeaders: (headers: IncomingHttpHeaders) =>
        createSiteProtocol().parseRequestHeaders(headers),
    },
    logger: {
      log: (event) => counted.push(event),
      logRequestEvents: () => undefined,
      countDroppedLines: () => 0,
    },
    metrics: { count: (name, label) => counted.push(`${name} ${label ?? ''}`) },
    now: () => performance.now(),
    isLeaving: () => false,
  });
  const server = createServer(handler.handle);
  // Which heads the parser refuses by itself depends on the version of the runtime.
  server.on('clientError', createParserErrorResponder().respond);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return {
    handler,
    counted,
    url: `http://127.0.0.1:${port}/`,
  };
}

test('a request that fails with an internal error gets a final response', async (context) => {
  const served = await serveRelay(context, () => {
    throw new Error('internal');
  });
  const response = await fetch(served.url);
  assert.equal(response.status, 502);
  assert.match(await response.text(), /"outcome":"unknown"/);
  assert.ok(served.counted.includes('request-crashed'));
});

test('a response that an internal error interrupts does not look complete', async (context) => {
  const served = await serveRelay(context, (response) => {
    response.begin(200, []);
    response.write(Buffer.from('half'));
    throw new Error('internal');
  });
  await assert.rejects(async () => (await fetch(served.url)).text());
  assert.ok(served.counted.includes('unanswered_requests crashed'));
  assert.ok(served.counted.includes('request-unanswered'));
  assert.equal(served.handler.countOpen(), 0);
});

/** Waits until a condition holds; throws after two seconds. */
async function waitUntil(condition: () => boolean): Promise<void> {
  const until = performance.now() + 2_000;
  while (!condition()) {
    assert.ok(performance.now() < until, 'condition not met within 2 s');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Keeps the process from reading, so that all bytes of its connections arrive before it does. */
function blockReads(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

for (const method of ['GET', 'POST']) {
  test(`a ${method} request whose caller has left before it was read does not reach an endpoint`, async (context) => {
    let relayed = 0;
    const served = await serveRelay(context, () => {
      relayed += 1;
      throw new Error('internal');
    });
    const { port, hostname } = new URL(served.url);
    const socket = connect(Number(port), hostname);
    await once(socket, 'connect');
    socket.end(`${method} / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n`);
    await Promise.resolve();
    blockReads(50);
    socket.destroy();
    blockReads(50);
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.equal(relayed, 0);
    assert.ok(served.counted.some((name) => name.startsWith('abandoned_requests')));
  });
}

test('a pipelined request whose caller has left does not count as open', async (context) => {
  const served = await serveRelay(context, (response) => {
    response.begin(200, []);
  });
  const { port, hostname } = new URL(served.url);
  const socket = connect(Number(port), hostname);
  socket.write(REQUEST + REQUEST);
  await waitUntil(() => served.handler.countOpen() === 2);
  socket.destroy();
  await waitUntil(() => served.handler.countOpen() === 0);
});

/** Sends a request, and another one on the same connection when the first one is answered. */
async function sendTwoRequests(url: string): Promise<Socket> {
  const { port, hostname } = new URL(url);
  const socket = connect(Number(port), hostname);
  socket.write(REQUEST);
  await once(socket, 'data');
  socket.write(REQUEST);
  return socket;
}

test('a request that gets no response on a kept connection is counted as such', async (context) => {
  let relayed = 0;
  const served = await serveRelay(context, (response) => {
    relayed += 1;
    if (relayed === 1) response.begin(204, []);
    if (relayed === 1) response.end();
    else response.abort('interrupted');
  });
  const socket = await sendTwoRequests(served.url);
  await once(socket, 'close');
  assert.ok(served.counted.includes('answered_requests '));
  assert.ok(served.counted.includes('unanswered_requests interrupted'));
  assert.ok(served.counted.includes('unanswered_on_kept_connections interrupted'));
});

test('a request whose caller closes the connection is not counted as unanswered', async (context) => {
  let relayed = 0;
  const served = await serveRelay(context, (response) => {
    relayed += 1;
    if (relayed === 1) response.begin(204, []);
    if (relayed === 1) response.end();
  });
  const socket = await sendTwoRequests(served.url);
  await waitUntil(() => relayed === 2);
  socket.destroy();
  await waitUntil(() => served.counted.includes('left_requests '));
  assert.ok(!served.counted.some((name) => name.startsWith('unanswered')));
});

test('an internal error after the end of a response does not cut it', async (context) => {
  const served = await serveRelay(context, (response) => {
    response.begin(200, []);
    response.end(Buffer.alloc(LARGE_BODY_BYTES));
    throw new Error('internal');
  });
  const body = await (await fetch(served.url)).arrayBuffer();
  assert.equal(body.byteLength, LARGE_BODY_BYTES);
});

for (const [what, head] of Object.entries({
  'a path with a tab': 'POST /a\tb HTTP/1.1\r\n',
  'a header whose name contains a space': 'POST / HTTP/1.1\r\nOdd name: 1\r\n',
})) {
  test(`a request with ${what} is refused and not passed on`, async (context) => {
    let relayed = 0;
    const served = await serveRelay(context, () => {
      relayed += 1;
    });
    const { port, hostname } = new URL(served.url);
    const socket = connect(Number(port), hostname);
    socket.write(`${head}Host: a\r\nContent-Length: 0\r\n\r\n`);
    const [received] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    assert.match(received.toString(), /^HTTP\/1.1 400 [^]*"outcome":"not-run"/);
    assert.equal(relayed, 0);
  });
}

test('a request behind an open one is passed on after its response, not if that ends the connection', async (context) => {
  const responses: CallerResponse[] = [];
  const served = await serveRelay(context, (response) => {
    responses.push(response);
  });
  const { port, hostname } = new URL(served.url);
  const socket = connect(Number(port), hostname);
  socket.resume();
  socket.write(REQUEST + REQUEST + REQUEST);
  await waitUntil(() => served.handler.countOpen() === 3);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(responses.length, 1);
  responses[0]?.begin(204, []);
  responses[0]?.end();
  await waitUntil(() => responses.length === 2);
  responses[1]?.begin(204, ['Connection', 'close']);
  responses[1]?.end();
  await once(socket, 'close');
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(responses.length, 2);
  assert.equal(served.handler.countOpen(), 0);
  assert.ok(!served.counted.some((name) => name.startsWith('unanswered_on_kept')));
});
