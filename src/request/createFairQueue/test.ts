import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { createFairQueue, type QueuedItem } from './index.js';

function drain(items: readonly QueuedItem[], count: number): string[] {
  const queue = createFairQueue();
  items.forEach(queue.push);
  return Array.from({ length: count }, () => queue.pop()?.flow ?? '');
}

function createItems(flow: string, count: number, weight = 1): QueuedItem[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${flow}-${index.toString()}`,
    flow,
    weight,
    cost: 10,
  }));
}

test('serves a small flow next to a flow with many items, not after it', () => {
  const served = drain([...createItems('large', 500), ...createItems('small', 2)], 6);
  assert.ok(served.filter((flow) => flow === 'small').length === 2, served.join());
});

test('serves waiting flows in proportion to their weights', () => {
  const served = drain([...createItems('one', 300, 1), ...createItems('three', 300, 3)], 200);
  const share = served.filter((flow) => flow === 'three').length / served.length;
  assert.ok(share > 0.72 && share < 0.78, share.toString());
});

test('serves every item once for any flows, weights and costs', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          flow: fc.constantFrom('a', 'b', 'c'),
          weight: fc.integer({ min: 1, max: 9 }),
          cost: fc.integer({ min: 1, max: 100 }),
        }),
        { maxLength: 40 },
      ),
      (drawn) => {
        const queue = createFairQueue();
        drawn.forEach((item, index) => {
          queue.push({ id: index.toString(), ...item });
        });
        const served = drawn.map(() => queue.pop()?.id);
        assert.equal(new Set(served).size, drawn.length);
        assert.equal(queue.size(), 0);
        assert.equal(queue.waitingCost(), 0);
      },
    ),
    { seed: 13, numRuns: 200 },
  );
});

test('does not serve a removed item', () => {
  const queue = createFairQueue();
  createItems('a', 2).forEach(queue.push);
  assert.ok(queue.remove('a-0'));
  assert.equal(queue.pop()?.id, 'a-1');
  assert.equal(queue.pop(), undefined);
});

// The tests below guard against levels that change the order within a level, or that serve a less urgent item first.

interface LeveledItem extends QueuedItem {
  readonly level: number;
}

const ITEMS = fc
  .array(
    fc.record({
      flow: fc.constantFrom('a', 'b', 'c'),
      weight: fc.integer({ min: 1, max: 9 }),
      cost: fc.integer({ min: 1, max: 100 }),
      level: fc.integer({ min: 0, max: 3 }),
    }),
    { maxLength: 40 },
  )
  .map((items) => items.map((item, index): LeveledItem => ({ id: `${index}`, ...item })));

function drainLevels(items: readonly LeveledItem[]): LeveledItem[] {
  const queue = createFairQueue<LeveledItem>();
  items.forEach(queue.push);
  return items.flatMap(() => queue.pop() ?? []);
}

test('serves levels in ascending order, and each as a queue of its own would', () => {
  fc.assert(
    fc.property(ITEMS, (items) => {
      const levels = [...new Set(items.map(({ level }) => level))].sort(
        (left, right) => left - right,
      );
      const naive = levels.flatMap((level) =>
        drainLevels(
          items.filter((item) => item.level === level).map((item) => ({ ...item, level: 0 })),
        ),
      );
      assert.deepEqual(
        drainLevels(items).map(({ id }) => id),
        naive.map(({ id }) => id),
      );
    }),
    { seed: 17, numRuns: 300 },
  );
});

test('lists the items, and peeks at the next one, in the order in which it serves them', () => {
  fc.assert(
    fc.property(ITEMS, fc.nat({ max: 10 }), (items, served) => {
      const queue = createFairQueue<LeveledItem>();
      items.forEach(queue.push);
      for (let count = 0; count < served; count += 1) queue.pop();
      const listed = queue.list().map(({ id }) => id);
      assert.equal(queue.size(), listed.length);
      assert.equal(queue.peek()?.id, listed[0]);
      assert.deepEqual(
        listed.map(() => queue.pop()?.id),
        listed,
      );
    }),
    { seed: 18, numRuns: 300 },
  );
});

test('measures what is served before a new item', () => {
  fc.assert(
    fc.property(
      ITEMS,
      fc.constantFrom('a', 'b', 'new'),
      fc.nat({ max: 4 }),
      (items, flow, level) => {
        const queue = createFairQueue<LeveledItem>();
        items.forEach(queue.push);
        const { items: count, cost } = queue.measureBefore(flow, level);
        queue.push({ id: 'new', flow, weight: 1, cost: 1, level });
        const listed = queue.list();
        const before = listed.slice(
          0,
          listed.findIndex(({ id }) => id === 'new'),
        );
        // Items with the same start tag as the new one count as served before it.
        assert.ok(before.length <= count);
        assert.ok(before.reduce((sum, item) => sum + item.cost, 0) <= cost);
        assert.ok(count <= items.filter((item) => item.level <= level).length);
      },
    ),
    { seed: 19, numRuns: 300 },
  );
});

test('does not serve a removed item of any level', () => {
  const queue = createFairQueue<LeveledItem>();
  for (const level of [2, 0, 1])
    queue.push({ id: `${level}`, flow: 'a', weight: 1, cost: 5, level });
  assert.ok(queue.remove('0'));
  assert.ok(!queue.remove('0'));
  assert.deepEqual([queue.pop()?.id, queue.pop()?.id, queue.pop()], ['1', '2', undefined]);
  assert.equal(queue.waitingCost(), 0);
});
