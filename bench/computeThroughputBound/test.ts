import assert from 'node:assert/strict';
import test from 'node:test';
import { computeThroughputBound } from './index.js';

function checkBound(engines: [number, number, number][], expected: number): void {
  const bound = computeThroughputBound(
    engines.map(([from, to, layersPerSecond]) => ({ from, to, layersPerSecond })),
    4,
  );
  assert.ok(Math.abs(bound - expected) < 0.01 * expected + 1e-6, `${bound} against ${expected}`);
}

test('computes the bound from the layers with the least capacity', () => {
  checkBound([[0, 4, 40]], 10);
  checkBound(
    [
      [0, 2, 40],
      [2, 4, 20],
    ],
    10,
  );
  checkBound(
    [
      [0, 2, 40],
      [2, 4, 20],
      [0, 4, 20],
    ],
    20,
  );
  checkBound([[0, 3, 100]], 0);
});
