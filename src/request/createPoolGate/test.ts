import assert from 'node:assert/strict';
import test from 'node:test';
import { createPoolGate, type GateItem } from './index.js';

function createItem(id: string, log: string[], deadlineAt = 10_000): GateItem {
  return {
    id,
    flow: 'f',
    weight: 1,
    cost: 100,
    queuedAt: 0,
    deadlineAt,
    start: () => log.push(`start ${id}`),
    refuse: () => log.push(`refuse ${id}`),
  };
}

test('items above the limit wait and start when others end', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 1, minimumLimit: 1 });
  gate.offer(createItem('a', log), 0);
  gate.offer(createItem('b', log), 0);
  assert.deepEqual(log, ['start a']);
  gate.release(100, 0, 1_000);
  assert.deepEqual(log, ['start a', 'start b']);
});

test('an item is refused on arrival when the work before it outlasts its deadline', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 1, minimumLimit: 1 });
  gate.offer(createItem('a', log), 0);
  gate.release(100, 0, 1_000);
  gate.offer(createItem('b', log), 1_000);
  gate.offer(createItem('c', log, 20_000), 1_000);
  gate.offer(createItem('d', log, 1_500), 1_000);
  assert.deepEqual(log, ['start a', 'start b', 'refuse d']);
});
