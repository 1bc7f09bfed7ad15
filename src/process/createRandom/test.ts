import assert from 'node:assert/strict';
import test from 'node:test';
import { createRandom } from './index.js';

test('first numbers of consecutive seeds are spread over the interval', () => {
  const firsts = Array.from({ length: 400 }, (_, seed) => createRandom(seed)());
  const quarters = [0, 0.25, 0.5, 0.75].map(
    (low) => firsts.filter((value) => value >= low && value < low + 0.25).length,
  );
  for (const count of quarters) assert.ok(count > 70 && count < 130, quarters.join());
});

test('the same seed gives the same numbers', () => {
  const [left, right] = [createRandom(5), createRandom(5)];
  assert.deepEqual([left(), left(), left()], [right(), right(), right()]);
});
