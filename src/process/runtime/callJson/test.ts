import assert from 'node:assert/strict';
import { Agent, createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { test } from 'node:test';
import { callJson } from './index.js';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';

test('a reused connection does not accumulate listeners over many calls', async () => {
  const warnings: Error[] = [];
  const onWarning = (warning: Error): void => {
    warnings.push(warning);
  };
  process.on('warning', onWarning);
  const server = createServer((_, response) => {
    response.end('{}');
  });
  const address = await listenOnLoopback(server);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let call = 0; call < 20; call += 1) {
    const options = { address, method: 'GET', path: '/', agent, timeoutMilliseconds: 5_000 };
    assert.equal((await callJson(options)).kind, 'answered');
  }
  await new Promise((resolve) => setImmediate(resolve));
  agent.destroy();
  server.close();
  process.off('warning', onWarning);
  assert.deepEqual(
    warnings.map(({ name }) => name),
    [],
  );
});

test('a call without a response times out with an unknown outcome', async () => {
  const server = createServer(() => undefined);
  const address = await listenOnLoopback(server);
  const result = await callJson({ address, method: 'GET', path: '/', timeoutMilliseconds: 100 });
  server.closeAllConnections();
  server.close();
  assert.deepEqual(result, { kind: 'unknown', reason: 'timeout after 100 ms' });
});

test('a call to an invalid port is not sent, and does not throw', async () => {
  const call = { method: 'GET', path: '/', timeoutMilliseconds: 100 };
  assert.equal((await callJson({ ...call, address: '127.0.0.1:99999' })).kind, 'notSent');
});

test('a call that cannot be sent resolves as not sent', async () => {
  const common = { method: 'GET', path: '/', timeoutMilliseconds: 100 };
  const headers = { 'Expect-Instance': 'a\nb' };
  assert.equal((await callJson({ ...common, address: '127.0.0.1:99999' })).kind, 'notSent');
  assert.equal((await callJson({ ...common, address: '127.0.0.1:80', headers })).kind, 'notSent');
});

/** Sends a part of a response every 20 ms, up to a number of parts. */
async function serveSlowly(parts: number) {
  const server = createServer((_, response) => {
    let sent = 0;
    response.write('"');
    const timer = setInterval(() => {
      sent += 1;
      if (sent < parts) response.write('a');
      else response.end('"');
    }, 20);
    response.on('close', () => {
      clearInterval(timer);
    });
  });
  const address = await listenOnLoopback(server);
  const close = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return { address, close };
}

/** Guards against a long response that a slow link never delivers, as each call begins it anew. */
test('a response that goes on arriving is awaited beyond the time limit', async () => {
  const { address, close } = await serveSlowly(30);
  const call = { address, method: 'GET', path: '/', timeoutMilliseconds: 200 };
  const impatient = await callJson(call);
  const patient = await callJson({ ...call, maximumMilliseconds: 60_000 });
  close();
  assert.deepEqual(impatient, { kind: 'unknown', reason: 'timeout after 200 ms' });
  assert.equal(patient.kind, 'answered');
});

test('a response that never ends is given up at its maximum time', async () => {
  const { address, close } = await serveSlowly(Number.POSITIVE_INFINITY);
  const limits = { timeoutMilliseconds: 200, maximumMilliseconds: 500 };
  const result = await callJson({ address, method: 'GET', path: '/', ...limits });
  close();
  assert.deepEqual(result, { kind: 'unknown', reason: 'timeout after 200 ms' });
});

/** Serves `/silent` without a response, and everything else at once. */
async function serveWithSilence() {
  const server = createServer((request, response) => {
    if (request.url !== '/silent') setTimeout(() => response.end('{}'), 20);
  });
  const address = await listenOnLoopback(server);
  const agent = new Agent({ keepAlive: true });
  const close = (): void => {
    agent.destroy();
    server.closeAllConnections();
    server.close();
  };
  const call = (path: string) =>
    callJson({
      address,
      method: 'GET',
      path,
      agent,
      timeoutMilliseconds: 2_000,
      reusedTimeoutMilliseconds: 100,
    });
  return { agent, call, close };
}

/** Guards against further dead connections that calls use one after the other. */
test('a call without a response over a kept connection fails early and closes the idle connections', async () => {
  const { agent, call, close } = await serveWithSilence();
  await Promise.all([call('/'), call('/'), call('/')]);
  const reused = await call('/silent');
  const idle = Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? []);
  const open = idle.filter(({ destroyed }) => !destroyed).length;
  const next = await call('/silent');
  close();
  assert.deepEqual(reused, { kind: 'unknown', reason: 'timeout after 100 ms', isReused: true });
  assert.equal(open, 0);
  assert.deepEqual(next, { kind: 'unknown', reason: 'timeout after 2000 ms' });
});

/** Guards against refusals, reports and outcomes of orders that are read from bytes that are no answer. */
test('a response without a final status leaves the outcome unknown', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const server = createTcpServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\n{}`);
      });
    });
    const address = await listenOnLoopback(server);
    const result = await callJson({
      address,
      method: 'GET',
      path: '/',
      timeoutMilliseconds: 2_000,
    });
    server.close();
    assert.deepEqual(result, { kind: 'unknown', reason: `invalid status ${Number(status)}` });
  }
});
