import assert from 'node:assert/strict';
import test from 'node:test';
import { addGap, computeTimeout, EMPTY_GAP_ESTIMATE } from './index.js';

const BOUNDS = { initial: 2_000, minimum: 20, maximum: 5_000 };

function feed(gaps: readonly number[]) {
  return gaps.reduce(addGap, EMPTY_GAP_ESTIMATE);
}

test('computes a short timeout for a steady link and a longer one for a jittery link', () => {
  const steady = feed(Array.from({ length: 200 }, () => 20));
  const jittery = feed(Array.from({ length: 200 }, (_, index) => (index % 4 === 0 ? 45 : 15)));
  const steadyTimeout = computeTimeout({ estimate: steady, deviations: 4.5, ...BOUNDS });
  const jitteryTimeout = computeTimeout({ estimate: jittery, deviations: 4.5, ...BOUNDS });
  assert.ok(steadyTimeout < 60, steadyTimeout.toString());
  assert.ok(jitteryTimeout > 60, jitteryTimeout.toString());
});

test('returns the initial timeout for a link with few samples', () => {
  assert.equal(computeTimeout({ estimate: feed([5, 5]), deviations: 4.5, ...BOUNDS }), 2_000);
});
