import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import { checkListening } from './index.js';

test('tells whether a process listens; nothing listens on an address that is out of range', async () => {
  const server = createServer();
  const address = await listenOnLoopback(server);
  assert.equal(await checkListening(address), true);
  await new Promise((resolve) => server.close(resolve));
  assert.equal(await checkListening(address), false);
  assert.equal(await checkListening('127.0.0.1:99999'), false);
});
