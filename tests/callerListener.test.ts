/**
 * Bytes on a caller's connection that are not a request.
 */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import test from 'node:test';
import { createLifeCycle } from '../src/process/createLifeCycle/index.js';
import { listenHttp } from '../src/process/runtime/listenHttp/index.js';

function exchange(port: number, text: string): Promise<string> {
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

test('a request that is open is never told not-run because of the bytes behind it', async () => {
  let taken = 0;
  const { port, lifeCycle } = await listen(() => {
    taken += 1;
  });
  const received = await exchange(port, 'DELETE /a HTTP/1.1\r\nhost: a\r\n\r\n{"bay":3}');
  assert.equal(taken, 1);
  assert.equal(received, '');
  await lifeCycle.close();
});

test('bytes that are no request get a numbered code', async () => {
  const { port, lifeCycle } = await listen(() => undefined);
  assert.match(await exchange(port, 'nonsense\r\n\r\n'), /"code":1400.*"outcome":"not-run"/);
  await lifeCycle.close();
});
