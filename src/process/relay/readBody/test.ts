import assert from 'node:assert/strict';
import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { createBodyMemoryLimit } from '../createBodyMemoryLimit/index.js';
import { readBody } from './index.js';

test('bytes that arrive after a body was given up do not use up the memory for all bodies', async () => {
  const limit = createBodyMemoryLimit(1_000);
  const memory = limit.createReservation();
  const incoming = new IncomingMessage(new Socket());
  incoming.headers['transfer-encoding'] = 'chunked';
  const options = { maximumBytes: 1_000, maximumChunks: 100, timeoutMilliseconds: 10, memory };
  assert.equal((await readBody(incoming, options)).kind, 'timeout');
  memory.release();
  incoming.push(Buffer.alloc(600));
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(limit.countReservedBytes(), 0);
});
