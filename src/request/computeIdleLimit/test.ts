import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeIdleLimit } from './index.js';

/** Time that callers wait for a first event before they disconnect. */
const CALLER_WAIT_MILLISECONDS = 2_000;

function createPath(milliseconds: number) {
  return { hops: [], firstEventMilliseconds: milliseconds, pauseMilliseconds: milliseconds };
}

test('replaces a run without a first event before its caller disconnects', () => {
  for (const predicted of [0, 50, 400, 5_000])
    assert.ok(
      computeIdleLimit(createPath(predicted), false).replaceWithoutLoss <=
        CALLER_WAIT_MILLISECONDS - 500,
    );
});

test('probes the endpoints of a run before it is replaced, and later on a slower path', () => {
  for (const hasBegun of [false, true]) {
    const fast = computeIdleLimit(createPath(10), hasBegun);
    const slow = computeIdleLimit(createPath(10_000), hasBegun);
    assert.ok(fast.probe < slow.probe);
    assert.ok(slow.probe < slow.replaceWithoutLoss);
  }
});

test('moves a run between events no later than its endpoints are probed', () => {
  for (const predicted of [0, 10, 40, 100, 10_000]) {
    const { move, probe } = computeIdleLimit(createPath(predicted), true);
    assert.ok(move <= probe);
    assert.ok(move > Math.min(predicted, 200));
  }
});
