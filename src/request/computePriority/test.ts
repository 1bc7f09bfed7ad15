/**
 * Guards against requests that are ranked by their route although their client account has a priority.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { computePriority } from './index.js';

test('the priority of the client account replaces that of the route', () => {
  assert.equal(computePriority(2, undefined), 3);
  assert.equal(computePriority(2, 0), 1);
});

test('priorities are limited, and one that is no number counts as the default', () => {
  assert.equal(computePriority(40, undefined), 9);
  assert.equal(computePriority(Number.NaN, undefined), 5);
});
