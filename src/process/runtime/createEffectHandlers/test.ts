import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import type { NodeEvent } from '../../../types/node/index.js';
import { createEffectHandlers, type CreateEffectHandlersOptions } from './index.js';

const LATE_MILLISECONDS = 30;

function formatResponse(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

test('an additional response never reaches the next call of the endpoint', async () => {
  let requests = 0;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      const response = formatResponse(`response ${requests}`);
      if (requests > 1) {
        setTimeout(() => socket.write(response), 3 * LATE_MILLISECONDS);
        return;
      }
      socket.write(response);
      setTimeout(() => socket.write(response), LATE_MILLISECONDS);
    });
  });
  const address = await listenOnLoopback(server);
  let onEvent: (event: NodeEvent) => void = () => undefined;
  const parts = {
    histograms: {},
    getDriver: () => ({
      offer: () => false,
      feed: (event: NodeEvent): void => {
        onEvent(event);
      },
    }),
  };
  const handlers = createEffectHandlers(parts as unknown as CreateEffectHandlersOptions);
  const call = (name: string): Promise<NodeEvent> =>
    new Promise((resolve) => {
      onEvent = resolve;
      handlers.callEndpoint({
        kind: 'callEndpoint',
        call: name,
        address,
        method: 'GET',
        path: '/',
        headers: {},
        body: '',
        timeoutMilliseconds: 2_000,
      });
    });
  const reply = { kind: 'reply', status: 200, contentType: '' };
  const events = [await call('first'), await call('second')];
  for (const socket of sockets) socket.destroy();
  server.close();
  assert.deepEqual(events, [
    { ...reply, call: 'first', body: 'response 1' },
    { ...reply, call: 'second', body: 'response 2' },
  ]);
});
