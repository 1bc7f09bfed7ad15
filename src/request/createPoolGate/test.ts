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
  gate.release({ flow: 'f', cost: 100, startedAt: 0, now: 1_000, isComplete: true });
  assert.deepEqual(log, ['start a', 'start b']);
});

test('an item is refused on arrival when the work before it outlasts its deadline', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 1, minimumLimit: 1 });
  gate.offer(createItem('a', log), 0);
  gate.release({ flow: 'f', cost: 100, startedAt: 0, now: 1_000, isComplete: true });
  gate.offer(createItem('b', log), 1_000);
  gate.offer(createItem('c', log, 20_000), 1_000);
  gate.offer(createItem('d', log, 1_500), 1_000);
  assert.deepEqual(log, ['start a', 'start b', 'refuse d']);
});

test('a flow that has nothing running may go above the limit, one that has may not', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 4, minimumLimit: 4 });
  for (let index = 0; index < 6; index += 1)
    gate.offer(createItem(`large-${index.toString()}`, log), 0);
  assert.equal(log.length, 4);
  gate.offer({ ...createItem('small', log), flow: 'small' }, 0);
  assert.equal(log.at(-1), 'start small');
  gate.offer({ ...createItem('small-2', log), flow: 'small' }, 0);
  assert.equal(log.at(-1), 'start small');
});

test('limits of two gates in full use come together, an idle gate keeps its own', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 8 });
  gate.applyPeerLimit(40);
  assert.equal(gate.describe().limit, 8);
  for (let index = 0; index < 8; index += 1) gate.offer(createItem(index.toString(), log), 0);
  gate.applyPeerLimit(40);
  assert.equal(gate.describe().limit, 24);
});
