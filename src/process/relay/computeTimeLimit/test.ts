import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeTimeLimit } from './index.js';

test('takes the shorter of the timeout of the route and the deadline of the caller', () => {
  const route = { timeoutMilliseconds: 900 };
  assert.equal(computeTimeLimit(route, { deadlineMilliseconds: 500 }), 470);
  assert.equal(computeTimeLimit(route, { deadlineMilliseconds: 5_000 }), 900);
});

test('leaves time for the response where the caller names no deadline', () => {
  assert.equal(computeTimeLimit({ timeoutMilliseconds: 900 }, {}), 870);
});
