/**
 * Invalid bytes on a caller's connection. Guards against an open request that is reported as
 * not executed, because the caller takes the error response to the trailing bytes for its own, and
 * against one that ends without an answer.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import test, { type TestContext } from 'node:test';
import { createLifeCycle } from '../src/process/createLifeCycle/index.js';
import { listenHttp } from '../src/process/runtime/listenHttp/index.js';
import { createCallerServer } from '../src/process/site/createSiteServers/index.js';

function exchangeBytes(port: number, text: string): Promise<string> {
  return new Promise((done) => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('utf8');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      done(received);
    });
  });
}

async function listen(onRequest: Parameters<typeof listenHttp>[0]['onRequest']) {
  const lifeCycle = createLifeCycle();
  const listener = { host: '127.0.0.1', port: 0, allowPlaintextBeyondLoopback: false };
  const port = await listenHttp({
    name: 'callers',
    listener,
    lifeCycle,
    requestTimeoutMilliseconds: 1_000,
    onRequest,
  });
  return { port, lifeCycle };
}

/** Bytes that are no request, after a complete one. */
const REQUEST_AND_BYTES = 'DELETE /a HTTP/1.1\r\nhost: a\r\n\r\n{"bay":3}';
/** One response whose head announces the end of the connection, and nothing after it. */
const ONLY_RESPONSE = /^HTTP\/1.1 200 OK\r\nConnection: close\r\n(?:[^\r]+\r\n)+\r\ndone$/;

function respondLate(response: ServerResponse): void {
  setTimeout(() => response.writeHead(200, { 'Content-Length': 4 }).end('done'), 50);
}

test('invalid bytes after an open request do not end it as not-run, nor without its response', async () => {
  let accepted = 0;
  const { port, lifeCycle } = await listen((_, response) => {
    accepted += 1;
    respondLate(response);
  });
  const received = await exchangeBytes(port, REQUEST_AND_BYTES);
  assert.equal(accepted, 1);
  assert.match(received, ONLY_RESPONSE);
  await lifeCycle.close();
});

test('responds to bytes that are not HTTP with a result code', async () => {
  const { port, lifeCycle } = await listen(() => undefined);
  assert.match(await exchangeBytes(port, 'nonsense\r\n\r\n'), /"code":1400.*"outcome":"not-run"/);
  await lifeCycle.close();
});

/** Serves the callers of a site; closes at the end of the test. */
async function listenToCallers(context: TestContext, handle: RequestListener): Promise<number> {
  const server = createCallerServer(handle);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

test('invalid bytes after an open request of a site do not end it with a refusal, nor without its response', async (context) => {
  let accepted = 0;
  const port = await listenToCallers(context, (_, response) => {
    accepted += 1;
    respondLate(response);
  });
  const received = await exchangeBytes(port, REQUEST_AND_BYTES);
  assert.equal(accepted, 1);
  assert.match(received, ONLY_RESPONSE);
});

test('invalid bytes while a response is sent do not cut it, and close the connection after it', async (context) => {
  const port = await listenToCallers(context, (_, response) => {
    response.writeHead(200, { 'Content-Length': 8 }).write('half');
    setTimeout(() => response.end('done'), 50);
  });
  assert.match(await exchangeBytes(port, REQUEST_AND_BYTES), /\r\n\r\nhalfdone$/);
});

test('a caller that leaves after invalid bytes ends its open request at once', async (context) => {
  let closed = false;
  const port = await listenToCallers(context, (_, response) => {
    response.on('close', () => {
      closed = true;
    });
  });
  const socket = connect(port, '127.0.0.1', () => socket.write(REQUEST_AND_BYTES));
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.ok(!closed);
  socket.end();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.ok(closed);
});

test('a request that times out behind an open one does not cut its response', async (context) => {
  let accepted = 0;
  const server = createCallerServer((_, response) => {
    accepted += 1;
    respondLate(response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  server.once('connection', (connection: Socket) => {
    setTimeout(() => {
      server.emit('clientError', { code: 'ERR_HTTP_REQUEST_TIMEOUT' }, connection);
      socket.write('\r\n');
    }, 20);
  });
  let received = '';
  const socket = connect(port, '127.0.0.1', () =>
    socket.write('DELETE /a HTTP/1.1\r\nhost: a\r\n\r\nDELETE /b HTTP/1.1\r\nhost: a\r\n'),
  );
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  await once(socket, 'close');
  assert.equal(accepted, 1);
  assert.match(received, ONLY_RESPONSE);
});

test('a request that arrives after its connection was refused as late is not executed', async () => {
  let accepted = 0;
  const server = createCallerServer((_, response) => {
    accepted += 1;
    response.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  server.once('connection', (connection: Socket) => {
    server.emit('clientError', { code: 'ERR_HTTP_REQUEST_TIMEOUT' }, connection);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  socket.on('error', () => undefined);
  const [received] = (await once(socket, 'data')) as [Buffer];
  assert.match(received.toString(), /^HTTP\/1.1 408 /);
  socket.write('POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n');
  await new Promise((resolve) => setTimeout(resolve, 100));
  assert.equal(accepted, 0);
  server.close();
  server.closeAllConnections();
});

const POST = 'POST /a HTTP/1.1\r\nhost: a\r\n';
const CHUNKED = `${POST}transfer-encoding: chunked\r\n`;
/** Requests at the parser's edge, and the status and result code of the response. */
const EDGE_CASES: Readonly<Record<string, readonly [text: string, expected: RegExp]>> = {
  'a length together with chunks': [
    `${POST}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    /^HTTP\/1.1 400 .*"code":1400.*"outcome":"not-run"/s,
  ],
  'chunk extensions over the limit': [
    `${CHUNKED}\r\n2;${'x'.repeat(40_000)}\r\nab\r\n0\r\n\r\n`,
    /^HTTP\/1.1 413 .*"code":1413.*"outcome":"not-run"/s,
  ],
  'an invalid chunk size': [
    `${CHUNKED}\r\nzz\r\n`,
    /^HTTP\/1.1 400 .*"code":1400.*"outcome":"not-run"/s,
  ],
};

for (const [name, [text, expected]] of Object.entries(EDGE_CASES)) {
  test(`refuses ${name} with a result code, on both listeners`, async (context) => {
    const { port, lifeCycle } = await listen((request) => request.resume());
    assert.match(await exchangeBytes(port, text), expected);
    await lifeCycle.close();
    const sitePort = await listenToCallers(context, (request) => request.resume());
    assert.match(await exchangeBytes(sitePort, text), expected);
  });
}
