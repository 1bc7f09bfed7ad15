import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEventGuard } from './index.js';

test('passes each event once and in order', () => {
  const guard = createEventGuard(4);
  assert.deepEqual([5, 5, 3, 6].map(guard.check), ['pass', 'drop', 'drop', 'pass']);
  assert.equal(guard.getLastId(), 6);
});

test('fails the run on a gap or on an event without a number', () => {
  const guard = createEventGuard(0);
  assert.equal(guard.check(2), 'broken');
  assert.equal(guard.check(undefined), 'broken');
  assert.equal(guard.getLastId(), 0);
});
