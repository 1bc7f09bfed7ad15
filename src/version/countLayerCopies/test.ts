import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LAYERED_MODEL } from '../../../tests/support/site/index.js';
import { countLayerCopies } from './index.js';

const MODEL = { ...LAYERED_MODEL, layers: 4 };

test('counts the copies of each layer', () => {
  const ranges = [
    { from: 0, to: 3 },
    { from: 2, to: 4 },
  ];
  assert.deepEqual(countLayerCopies(MODEL, ranges), [1, 1, 2, 1]);
});

/** Guards against nodes that end, or do nothing else, because an endpoint's range has no bound. */
test('counts only the layers of the model, whatever the range', () => {
  for (const to of [5, 100, 1e9, 1e15, 1e308]) {
    assert.deepEqual(countLayerCopies(MODEL, [{ from: 2, to }]), [0, 0, 1, 1]);
    assert.deepEqual(countLayerCopies(MODEL, [{ from: to, to: 2 * to }]), [0, 0, 0, 0]);
  }
});
