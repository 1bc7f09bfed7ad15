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

test('queues items above the limit and starts them when others end', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 1, minimumLimit: 1 });
  gate.offer(createItem('a', log), 0);
  gate.offer(createItem('b', log), 0);
  assert.deepEqual(log, ['start a']);
  gate.release({ flow: 'f', cost: 100, startedAt: 0, now: 1_000, isComplete: true });
  assert.deepEqual(log, ['start a', 'start b']);
});

test('refuses an item on arrival when the work before it cannot finish by its deadline', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 1, minimumLimit: 1 });
  gate.offer(createItem('a', log), 0);
  gate.release({ flow: 'f', cost: 100, startedAt: 0, now: 1_000, isComplete: true });
  gate.offer(createItem('b', log), 1_000);
  gate.offer(createItem('c', log, 20_000), 1_000);
  gate.offer(createItem('d', log, 1_500), 1_000);
  assert.deepEqual(log, ['start a', 'start b', 'refuse d']);
});

test('lets only a flow without a running request exceed the limit', () => {
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

test('moves the limit of a fully used gate towards that of a peer, but not of an idle gate', () => {
  const log: string[] = [];
  const gate = createPoolGate({ initialLimit: 8 });
  gate.applyPeerLimit(40);
  assert.equal(gate.describe().limit, 8);
  for (let index = 0; index < 8; index += 1) gate.offer(createItem(index.toString(), log), 0);
  gate.applyPeerLimit(40);
  assert.equal(gate.describe().limit, 24);
});
