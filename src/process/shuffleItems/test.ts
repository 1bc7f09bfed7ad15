import assert from 'node:assert/strict';
import { test } from 'node:test';
import { shuffleItems } from './index.js';

test('items are ordered by one number drawn for each, and the list itself stays', () => {
  const draws = [0.7, 0.1, 0.4];
  const items = ['a', 'b', 'c'];
  const shuffled = shuffleItems(items, () => draws.shift() ?? 0);
  assert.deepEqual(shuffled, ['b', 'c', 'a']);
  assert.deepEqual(items, ['a', 'b', 'c']);
  assert.equal(draws.length, 0);
});
