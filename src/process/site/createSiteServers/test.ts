import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSiteConfiguration } from '../../../../tests/support/site/index.js';
import { applyCallerLimits, createCallerServer } from './index.js';

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
