/**
 * Invalid bytes on a caller's connection. Guards against an open request that is reported as
 * not executed, because the caller takes the error response to the trailing bytes for its own.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import test from 'node:test';
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

test('invalid bytes after an open request do not end it as not-run', async () => {
  let accepted = 0;
  const { port, lifeCycle } = await listen(() => {
    accepted += 1;
  });
  const received = await exchangeBytes(port, 'DELETE /a HTTP/1.1\r\nhost: a\r\n\r\n{"bay":3}');
  assert.equal(accepted, 1);
  assert.equal(received, '');
  await lifeCycle.close();
});

test('responds to bytes that are not HTTP with a result code', async () => {
  const { port, lifeCycle } = await listen(() => undefined);
  assert.match(await exchangeBytes(port, 'nonsense\r\n\r\n'), /"code":1400.*"outcome":"not-run"/);
  await lifeCycle.close();
});

test('invalid bytes after an open request of a site do not end it with a refusal', async () => {
  let accepted = 0;
  const server = createCallerServer(() => {
    accepted += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const received = await exchangeBytes(port, 'DELETE /a HTTP/1.1\r\nhost: a\r\n\r\n{"bay":3}');
  assert.equal(accepted, 1);
  assert.equal(received, '');
  server.close();
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
