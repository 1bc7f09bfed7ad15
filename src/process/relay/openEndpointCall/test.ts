import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { openEndpointCall } from './index.js';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';

/** Runs one call against a raw listener; resolves to what the caller of the call learns. */
async function callRaw(serve: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      serve(socket);
    });
  });
  const address = await listenOnLoopback(server);
  let text = '';
  const outcome = await new Promise<string>((resolve) => {
    openEndpointCall({
      address,
      method: 'GET',
      url: '/',
      headers: ['Host', 'desk.example'],
      body: undefined,
      onResponse: () => undefined,
      onData: (chunk) => {
        text += chunk.toString();
      },
      onEnd: () => {
        resolve(`whole ${text}`);
      },
      onFailure: (state, reason) => {
        resolve(`${state} ${reason}`);
      },
    });
  });
  server.close();
  return outcome;
}

test('an answer without a length that ends with its connection is whole', async () => {
  const outcome = await callRaw((socket) => {
    socket.end(`${HEAD}\r\nbooked`);
  });
  assert.equal(outcome, 'whole booked');
});

test('an answer without a length whose connection is reset with its data is not whole', async () => {
  const outcome = await callRaw((socket) => {
    // Both arrive in one turn of the caller, which is held up meanwhile.
    socket.write(`${HEAD}\r\nboo`, () => {
      socket.resetAndDestroy();
      const until = performance.now() + 30;
      while (performance.now() < until);
    });
  });
  assert.match(outcome, /^sent /);
});

test('an answer that is shorter than its length is not whole', async () => {
  const outcome = await callRaw((socket) => {
    socket.end(`${HEAD}Content-Length: 10\r\n\r\nboo`);
  });
  assert.match(outcome, /^sent /);
});

test('bytes that are no answer fail the call', async () => {
  const outcome = await callRaw((socket) => {
    socket.end('\u0000\u0001garbage\r\n\r\n');
  });
  assert.match(outcome, /^sent /);
});

test('a port without a listener was sent nothing', async () => {
  const outcome = await new Promise<string>((resolve) => {
    openEndpointCall({
      address: '127.0.0.1:1',
      method: 'GET',
      url: '/',
      headers: ['Host', 'desk.example'],
      body: undefined,
      onResponse: () => undefined,
      onData: () => undefined,
      onEnd: () => {
        resolve('whole');
      },
      onFailure: (state) => {
        resolve(state);
      },
    });
  });
  assert.equal(outcome, 'notSent');
});
