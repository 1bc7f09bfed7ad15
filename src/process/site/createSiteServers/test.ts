import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSiteConfiguration } from '../../../../tests/support/site/index.js';
import { createLifeCycle } from '../../createLifeCycle/index.js';
import { applyCallerLimits, createCallerServer, startListeners } from './index.js';

/** File descriptors of a process on the smallest VM, without those that are reserved for files. */
const SOCKETS = 3_900;

test('caller connections and their endpoint connections need fewer file descriptors than a VM has', () => {
  const server = createCallerServer(() => undefined);
  assert.ok(server.maxConnections > 0);
  assert.ok(2 * server.maxConnections < SOCKETS);
});

test('keeps connections open longer than callers may leave them idle', () => {
  const server = createCallerServer(() => undefined);
  const { limits } = createSiteConfiguration();
  applyCallerLimits(server, limits);
  assert.ok(server.keepAliveTimeout > limits.idleTimeoutMilliseconds);
  assert.ok(server.headersTimeout > limits.headerTimeoutMilliseconds);
});

test('a listener that cannot accept a connection continues, and does not end the process', async () => {
  const lifeCycle = createLifeCycle();
  const server = createCallerServer(() => undefined);
  const failures: string[] = [];
  const listener = { name: 'callers', address: '127.0.0.1:0', server };
  await startListeners(lifeCycle, [listener], (name, { message }) => {
    failures.push(`${name}: ${message}`);
  });
  // As the runtime does when no file descriptor is free.
  server.emit('error', new Error('accept EMFILE'));
  assert.deepEqual(failures, ['callers: accept EMFILE']);
  assert.ok(server.listening);
  await lifeCycle.close();
});
