import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createBodyAllowance } from './index.js';

test('bodies of all requests together never take more than the allowance', () => {
  const allowance = createBodyAllowance(1_000);
  const [first, second] = [allowance.open(), allowance.open()];
  assert.ok(first.add(600));
  assert.ok(!second.add(500));
  assert.ok(second.add(400));
  assert.equal(allowance.countHeld(), 1_000);
  first.release();
  first.release();
  assert.equal(allowance.countHeld(), 400);
  assert.ok(second.add(600));
});
