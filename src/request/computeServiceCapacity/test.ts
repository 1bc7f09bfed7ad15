/**
 * Guards against a capacity that counts endpoints on which no path can begin, or memory of layers that are not scarce.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {
  FAST_ACCELERATOR,
  LAYERED_MODEL,
  MEDIUM_ACCELERATOR,
  SLOW_ACCELERATOR,
} from '../../../tests/support/site/index.js';
import { computeFreeMemory } from '../computeFreeMemory/index.js';
import { computeServiceCapacity, estimateStay } from './index.js';

const { layers, slots } = LAYERED_MODEL;
const first = { kind: FAST_ACCELERATOR, range: { from: 0, to: 40 } };
const second = { kind: MEDIUM_ACCELERATOR, range: { from: 40, to: 80 } };

test('counts the slots of the endpoints that host the first layer', () => {
  assert.equal(computeServiceCapacity(LAYERED_MODEL, [first, second, first]).slots, 2 * slots);
  assert.equal(computeServiceCapacity(LAYERED_MODEL, [second]).slots, 0);
});

test('the memory is that of the layer with the least, for all layers', () => {
  const { tokenLayers } = computeServiceCapacity(LAYERED_MODEL, [
    first,
    { ...second, kind: FAST_ACCELERATOR },
    first,
  ]);
  const free = computeFreeMemory(LAYERED_MODEL, FAST_ACCELERATOR.memoryMegabytes, 40);
  assert.ok(free > 0 && Math.abs(tokenLayers - (layers * free) / 40) < 1e-6 * tokenLayers);
});

test('layers that no endpoint hosts, and a service without endpoints, have no capacity', () => {
  assert.equal(computeServiceCapacity(LAYERED_MODEL, [first]).tokenLayers, 0);
  assert.deepEqual(computeServiceCapacity(LAYERED_MODEL, []), { slots: 0, tokenLayers: 0 });
  assert.equal(estimateStay(LAYERED_MODEL, []), 0);
});

test('requests are expected to stay longer on slower endpoints', () => {
  const slow = { ...first, kind: SLOW_ACCELERATOR };
  const stays = [[first], [first, slow], [slow]].map((list) => estimateStay(LAYERED_MODEL, list));
  assert.deepEqual(
    stays,
    [...stays].sort((left, right) => left - right),
  );
  assert.ok((stays[0] ?? 0) > 500);
});
