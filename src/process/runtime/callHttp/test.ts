import assert from 'node:assert/strict';
import { Agent, createServer as createHttpServer } from 'node:http';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import { callHttp, type HttpResult } from './index.js';

/** Runs one call against a raw listener. */
async function callRaw(serve: (socket: Socket) => void): Promise<HttpResult> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      serve(socket);
    });
  });
  const address = await listenOnLoopback(server);
  const result = await new Promise<HttpResult>((resolve) => {
    callHttp({ address, method: 'GET', path: '/', timeoutMilliseconds: 2_000 }, resolve);
  });
  server.close();
  return result;
}

test('returns a complete response', async () => {
  const result = await callRaw((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone');
  });
  assert.deepEqual(result, { kind: 'reply', status: 200, contentType: 'text/plain', body: 'done' });
});

test('fails on a response that switches protocols', { timeout: 5_000 }, async () => {
  const result = await callRaw((socket) => {
    socket.write('HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n');
  });
  assert.deepEqual(result, { kind: 'failed', sent: true });
});

test('fails as not sent on an address with an invalid port, and does not throw', async () => {
  const call = { address: '127.0.0.1:99999', method: 'GET', path: '/', timeoutMilliseconds: 100 };
  const result = await new Promise<HttpResult>((resolve) => callHttp(call, resolve));
  assert.deepEqual(result, { kind: 'failed', sent: false });
});

test('fails on a response without a final status', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const result = await callRaw((socket) => {
      socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nhi`);
    });
    assert.deepEqual(result, { kind: 'failed', sent: true });
  }
});

/** Serves `/silent` without a response, and everything else at once; calls share kept connections. */
async function serveWithSilence() {
  const server = createHttpServer((request, response) => {
    if (request.url !== '/silent') setTimeout(() => response.end(), 20);
  });
  const address = await listenOnLoopback(server);
  const agent = new Agent({ keepAlive: true });
  const call = (path: string): Promise<HttpResult> =>
    new Promise((resolve) => {
      callHttp({ address, method: 'GET', path, agent, timeoutMilliseconds: 200 }, resolve);
    });
  const countIdle = (): number => {
    const idle = Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? []);
    return idle.filter(({ destroyed }) => !destroyed).length;
  };
  const close = (): void => {
    agent.destroy();
    server.closeAllConnections();
    server.close();
  };
  await Promise.all([call('/'), call('/'), call('/')]);
  return { call, countIdle, close };
}

/** Guards against further dead connections that calls use one after the other. */
test('a call without a response over a kept connection closes the idle connections', async () => {
  const { call, countIdle, close } = await serveWithSilence();
  const result = await call('/silent');
  const idle = countIdle();
  close();
  assert.deepEqual(result, { kind: 'failed', sent: true });
  assert.equal(idle, 0);
});

/** Guards against connections that no call can use again, because the end of each response closes them. */
test('a complete response over a kept connection leaves the idle connections open', async () => {
  const { call, countIdle, close } = await serveWithSilence();
  const result = await call('/');
  await new Promise((resolve) => setTimeout(resolve, 50));
  const idle = countIdle();
  close();
  assert.equal(result.kind, 'reply');
  assert.equal(idle, 3);
});
