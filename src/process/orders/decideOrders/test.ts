import assert from 'node:assert/strict';
import test from 'node:test';
import type { EngineReport, EngineState } from '../../../types/endpoint/index.js';
import { decideOrders, type OrderTarget } from './index.js';

const EMPTY_REPORT: EngineReport = {
  incarnation: '1',
  model: '',
  version: '',
  adapters: [],
  from: 0,
  to: 0,
  active: 0,
  layersPerSecond: 1,
  leaving: false,
  loading: false,
  checksFencing: true,
  fencing: 0,
};

function createEngine(name: string, from: number, to: number, version = '1'): OrderTarget {
  return { name, isBusy: false, report: { ...EMPTY_REPORT, model: 'm', version, from, to } };
}

function createState(from: number, to: number, version = '2'): EngineState {
  return { model: 'm', version, adapters: [], from, to };
}

function decide(engines: OrderTarget[], desired: Record<string, EngineState>, maximumOrders = 9) {
  return decideOrders({
    engines,
    desired: new Map(Object.entries(desired)),
    maximumOrders,
  });
}

test('blocks the last engine of a layer and orders one of two', () => {
  const desired = { a: createState(0, 24), b: createState(0, 24), c: createState(24, 48) };
  const engines = [createEngine('a', 0, 24), createEngine('b', 0, 24), createEngine('c', 24, 48)];
  const { orders, blocked } = decide(engines, desired);
  assert.deepEqual(
    orders.map(({ engine }) => engine),
    ['a'],
  );
  assert.deepEqual(blocked, ['b', 'c']);
});

test('replaces the old version once the new one is ready on every layer', () => {
  const desired = { a: createState(0, 24), b: createState(24, 48), c: createState(24, 48) };
  const engines = [
    createEngine('a', 0, 24, '2'),
    createEngine('b', 24, 48, '2'),
    createEngine('c', 24, 48),
  ];
  assert.deepEqual(
    decide(engines, desired).orders.map(({ engine }) => engine),
    ['c'],
  );
});

test('orders engines without layers first and limits the number of orders', () => {
  const desired = { a: createState(0, 24), b: createState(0, 24), z: createState(24, 48) };
  const engines = [
    createEngine('a', 0, 24),
    createEngine('b', 0, 24),
    { name: 'z', isBusy: false, report: EMPTY_REPORT },
  ];
  assert.deepEqual(
    decide(engines, desired, 1).orders.map(({ engine }) => engine),
    ['z'],
  );
});

test('sends no order to an engine that has its desired state, is busy or is loading', () => {
  const done = createEngine('a', 0, 48, '2');
  const busy = { ...createEngine('b', 0, 48), isBusy: true };
  const loading = { ...createEngine('c', 0, 48), report: { ...EMPTY_REPORT, loading: true } };
  const desired = { a: createState(0, 48), b: createState(0, 48), c: createState(0, 48) };
  assert.deepEqual(decide([done, busy, loading], desired).orders, []);
});
