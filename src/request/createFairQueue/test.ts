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
