/**
 * Guards against connections that stay open although nobody reads, bytes that stay counted after a connection, and
 * ordinary requests that are closed for others.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import {
  deriveCallerLimits,
  type ConnectionLimits,
} from '../../../connection/deriveCallerLimits/index.js';
import { refuseOverloaded } from '../refuseOverloaded/index.js';
import { guardConnections, type ConnectionGuard, type GuardCause } from './index.js';

const RESOURCES = { memoryBytes: 50_000_000, descriptors: 1_000 };

interface Guarded {
  readonly guard: ConnectionGuard;
  readonly causes: GuardCause[];
  readonly connect: () => Socket;
  readonly server: Server;
}

async function serve(
  context: TestContext,
  settings: Partial<ConnectionLimits>,
  handle: RequestListener,
): Promise<Guarded> {
  const causes: GuardCause[] = [];
  const server = createServer((request, response) => {
    if (guard.admit(request, response)) handle(request, response);
    else refuseOverloaded(response);
  });
  const guard = guardConnections(server, {
    limits: deriveCallerLimits(RESOURCES, settings),
    now: () => performance.now(),
    onLimit: ({ cause }) => causes.push(cause),
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  context.after(() => {
    guard.close();
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  return {
    guard,
    causes,
    server,
    connect: () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      sockets.push(socket);
      return socket;
    },
  };
}

async function waitFor(what: string, condition: () => boolean): Promise<void> {
  for (let check = 0; check < 500 && !condition(); check += 1)
    await new Promise((resolve) => setTimeout(resolve, 20));
  assert.ok(condition(), what);
}

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const UNFINISHED = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n';

test('closes a connection whose caller reads nothing for the limit, and releases what it held', async (context) => {
  const {
    guard,
    causes,
    connect: open,
  } = await serve(context, { unreadMilliseconds: 300 }, (_, response) => {
    response.end(Buffer.alloc(9_000_000));
  });
  const socket = open();
  socket.pause();
  socket.write(REQUEST);
  await waitFor('the connection is closed', () => causes.length > 0);
  assert.deepEqual(causes, ['unread']);
  await waitFor('nothing is held', () => guard.memory.countHeld() === 0);
  assert.equal(guard.countConnections(), 0);
});

test('closes connections beyond the total and beyond those of one address', async (context) => {
  for (const [cause, settings] of [
    ['total', { connections: 2 }],
    ['address', { connectionsPerAddress: 2 }],
  ] as const) {
    const { causes, guard, connect: open } = await serve(context, settings, () => undefined);
    const first = [open(), open()];
    await waitFor('both are open', () => guard.countConnections() === 2);
    await once(open(), 'close');
    assert.deepEqual(causes, [cause]);
    first[0]?.destroy();
    await waitFor('one is closed', () => guard.countConnections() === 1);
    open();
    await waitFor('another one is accepted', () => guard.countConnections() === 2);
  }
});

test('refuses a request without memory as not run, with Retry-After', async (context) => {
  const { causes, connect: open } = await serve(context, { memoryBytes: 4_096 }, () => undefined);
  const socket = open();
  socket.write(REQUEST);
  const [head] = (await once(socket, 'data')) as [Buffer];
  assert.match(head.toString(), /^HTTP\/1.1 503 /);
  assert.match(head.toString(), /Retry-After: 0.50\r\n/);
  assert.match(head.toString(), /Connection: close\r\n/);
  assert.deepEqual(causes, ['noMemory']);
});

test('closes an unfinished body without progress for others, and no request that is open', async (context) => {
  const open: string[] = [];
  const settings = { memoryBytes: 60_000, connectionBytes: 30_000, stallMilliseconds: 100 };
  const guarded = await serve(context, settings, (request) => {
    open.push(request.method ?? '');
    const body = guarded.guard.reserveBody(request.socket);
    if (request.method === 'POST') request.on('data', () => body?.add(20_000));
  });
  const running = guarded.connect();
  let hasEnded = false;
  running.resume().on('close', () => {
    hasEnded = true;
  });
  running.write(REQUEST);
  await waitFor('a request is open', () => open.length === 1);
  const stalled = guarded.connect();
  stalled.write(UNFINISHED);
  await waitFor('a body is held', () => guarded.guard.memory.countHeld('body') === 20_000);
  await new Promise((resolve) => setTimeout(resolve, 150));
  guarded.connect();
  guarded.connect().write(UNFINISHED);
  await waitFor('a connection is closed', () => guarded.causes.length > 0);
  assert.deepEqual(guarded.causes, ['evictedBody']);
  await waitFor('one connection is closed', () => guarded.guard.countConnections() === 3);
  assert.equal(guarded.guard.memory.countHeld('body'), 20_000);
  assert.ok(!hasEnded);
  assert.ok(guarded.guard.memory.countHeld() <= 60_000);
});

test('counts nothing after requests were answered and connections closed', async (context) => {
  const {
    guard,
    causes,
    connect: open,
  } = await serve(context, {}, (_, response) => {
    setImmediate(() => response.end('done'));
  });
  const sockets = Array.from({ length: 5 }, open);
  for (const socket of sockets) {
    socket.resume();
    socket.write(REQUEST.repeat(50));
  }
  let received = 0;
  for (const socket of sockets)
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString().split('done').length - 1;
    });
  await waitFor('all are answered', () => received === 250);
  await waitFor('nothing is held', () => guard.memory.countHeld() === 0);
  for (const socket of sockets) socket.end();
  await waitFor('all are closed', () => guard.countConnections() === 0);
  assert.deepEqual(causes, []);
});
