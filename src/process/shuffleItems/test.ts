import assert from 'node:assert/strict';
import { test } from 'node:test';
import { shuffleItems } from './index.js';

test('orders items by one drawn number each, without changing the input', () => {
  const draws = [0.7, 0.1, 0.4];
  const items = ['a', 'b', 'c'];
  const shuffled = shuffleItems(items, () => draws.shift() ?? 0);
  assert.deepEqual(shuffled, ['b', 'c', 'a']);
  assert.deepEqual(items, ['a', 'b', 'c']);
  assert.equal(draws.length, 0);
});
