import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computePermitWaitLimit } from './index.js';

test('an urgent request waits longer, and none longer than half of its time', () => {
  const remainingMilliseconds = 20_000;
  assert.equal(computePermitWaitLimit({ priority: 0, remainingMilliseconds }), 1_000);
  assert.equal(computePermitWaitLimit({ priority: 5, remainingMilliseconds }), 600);
  assert.equal(computePermitWaitLimit({ priority: 0, remainingMilliseconds: 600 }), 300);
  assert.equal(computePermitWaitLimit({ priority: 0, remainingMilliseconds: -5 }), 0);
});
