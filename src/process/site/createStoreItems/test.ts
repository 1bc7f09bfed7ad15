import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StoreItem } from '../../../types/store/index.js';
import { createStoreItems } from './index.js';

function createCase() {
  const clock = { time: 0, removalTime: 0 };
  const calls: string[] = [];
  const items = createStoreItems({
    now: () => clock.time,
    getRemovalTime: () => clock.removalTime,
    onItem: (key, value, origin) =>
      calls.push(`${key} ${value?.toString() ?? 'removed'} ${origin}`),
  });
  return { clock, calls, items };
}

function item(key: string, revision: number, text?: string): StoreItem {
  return { key, revision, value: text === undefined ? undefined : Buffer.from(text) };
}

test('applies each revision of an item once, and no older one after it', () => {
  const { calls, items } = createCase();
  items.apply(item('a', 5, 'new'));
  items.apply(item('a', 5, 'new'));
  items.apply(item('a', 4, 'old'));
  items.apply(item('a', 4));
  assert.deepEqual(calls, ['a new change']);
});

test('removes what a snapshot does not contain', () => {
  const { calls, items } = createCase();
  items.apply(item('a', 5, '1'));
  items.applySnapshot({ items: [item('b', 6, '1')], revision: 7 }, 'change');
  assert.deepEqual(calls, ['a 1 change', 'b 1 change', 'a removed change']);
});

test('a deferred removal is undone by a later write only', () => {
  const { clock, calls, items } = createCase();
  for (const key of ['a', 'b']) items.apply(item(key, 5, '1'));
  clock.removalTime = 100;
  for (const key of ['a', 'b']) items.apply(item(key, 7));
  assert.equal(items.getNextRemoval(), 100);
  items.apply(item('a', 6, 'late'));
  items.apply(item('b', 8, '2'));
  clock.time = 100;
  items.removeDue();
  assert.deepEqual(calls.slice(2), ['b 2 change', 'a removed change']);
  assert.equal(items.getNextRemoval(), Number.POSITIVE_INFINITY);
});

test('the items of an older copy are told apart from changes', () => {
  const { calls, items } = createCase();
  items.apply(item('a', 5, '2'));
  items.applySnapshot({ items: [item('a', 1_005, '1')], revision: 1_007 }, 'restored');
  items.applySnapshot({ items: [item('a', 1_005, '1')], revision: 1_008 }, 'change');
  items.apply(item('a', 1_009, '3'));
  assert.deepEqual(calls, ['a 2 change', 'a 1 restored', 'a 3 change']);
});

test('a change that arrives after a newer removal does not bring the item back', () => {
  const { calls, items } = createCase();
  items.apply(item('a', 5, '1'));
  items.apply(item('a', 6));
  items.apply(item('a', 5, '1'));
  items.apply(item('a', 7, '2'));
  assert.deepEqual(calls, ['a 1 change', 'a removed change', 'a 2 change']);
});
