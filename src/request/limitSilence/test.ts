import assert from 'node:assert/strict';
import { test } from 'node:test';
import { limitSilence } from './index.js';

/** How long callers of the users' sites wait for a first event. */
const PATIENCE_MILLISECONDS = 2_000;

function createPath(milliseconds: number) {
  return { hops: [], firstEventMilliseconds: milliseconds, pauseMilliseconds: milliseconds };
}

test('a run without a first event is replaced before its caller goes', () => {
  for (const predicted of [0, 50, 400, 5_000])
    assert.ok(limitSilence(createPath(predicted), false).replace <= PATIENCE_MILLISECONDS - 500);
});

test('a run is asked after before it is replaced, and later the slower its path is', () => {
  for (const hasBegun of [false, true]) {
    const fast = limitSilence(createPath(10), hasBegun);
    const slow = limitSilence(createPath(10_000), hasBegun);
    assert.ok(fast.ask < slow.ask);
    assert.ok(slow.ask < slow.replace);
  }
});
