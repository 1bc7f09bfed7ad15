import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createBodyMemoryLimit } from './index.js';

test('limits the memory of all bodies together, and ignores a second release', () => {
  const limit = createBodyMemoryLimit(1_000);
  const [first, second] = [limit.createReservation(), limit.createReservation()];
  assert.ok(first.add(600));
  assert.ok(!second.add(500));
  assert.ok(second.add(400));
  assert.equal(limit.countReservedBytes(), 1_000);
  first.release();
  first.release();
  assert.equal(limit.countReservedBytes(), 400);
  assert.ok(second.add(600));
});
