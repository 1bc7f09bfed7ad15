import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSiteConfiguration } from '../../../../tests/support/site/index.js';
import { applyCallerLimits, createCallerServer } from './index.js';

/** Descriptors of a process on the smallest VM, without those that are kept for files. */
const SOCKETS = 3_900;

test('callers and the endpoints that they need never take more descriptors than a VM has', () => {
  const server = createCallerServer(() => undefined);
  assert.ok(server.maxConnections > 0);
  assert.ok(2 * server.maxConnections < SOCKETS);
});

test('a connection outlives the time that callers may leave it idle', () => {
  const server = createCallerServer(() => undefined);
  const { limits } = createSiteConfiguration();
  applyCallerLimits(server, limits);
  assert.ok(server.keepAliveTimeout > limits.idleTimeoutMilliseconds);
  assert.ok(server.headersTimeout > limits.headerTimeoutMilliseconds);
});
