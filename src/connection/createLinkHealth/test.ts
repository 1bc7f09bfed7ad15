import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLinkHealth } from './index.js';

/** Records connections to endpoints 0, 1 and so on, which were begun at a time. */
function recordAll(
  { record }: ReturnType<typeof createLinkHealth>,
  connected: readonly boolean[],
  startedAt: number,
): void {
  connected.forEach((isConnected, index) => {
    record(`i-${index}`, isConnected, startedAt);
  });
}

test('a node that connects to nearly no endpoint is cut off, and no longer once it connects to half of them', () => {
  const health = createLinkHealth();
  recordAll(health, [false, false, false, false, true], 100);
  assert.ok(health.isIsolated(200));
  recordAll(health, [true], 300);
  assert.ok(health.isIsolated(400));
  recordAll(health, [true, true, true], 500);
  assert.ok(!health.isIsolated(600));
});

test('a node that loses some endpoints is not cut off', () => {
  const health = createLinkHealth();
  recordAll(health, [false, false, false, true], 100);
  assert.ok(!health.isIsolated(200));
  assert.ok(health.isSuspect(200));
});

test('one or two endpoints out of reach say nothing about the links', () => {
  const health = createLinkHealth();
  recordAll(health, [false, false], 100);
  assert.ok(!health.isIsolated(200));
  recordAll(createLinkHealth(), [false], 100);
});

test('the later connection to an endpoint decides, in whichever order they end', () => {
  const health = createLinkHealth();
  recordAll(health, [true, true, true], 300);
  recordAll(health, [false, false, false], 100);
  assert.ok(!health.isSuspect(400));
});

test('what was found last holds while nothing is tried', () => {
  const health = createLinkHealth();
  recordAll(health, [false, false, false], 100);
  assert.ok(health.isIsolated(200));
  assert.ok(health.isIsolated(60_000));
});

test('connections of the last second count', () => {
  const health = createLinkHealth();
  recordAll(health, [true, true, true, true, true], 100);
  recordAll(health, [false, false, false], 1_050);
  assert.ok(!health.isIsolated(1_060));
  assert.ok(health.isIsolated(1_200));
});
