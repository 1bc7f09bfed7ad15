import assert from 'node:assert/strict';
import test from 'node:test';
import { boundThroughput } from './index.js';

function checkBound(engines: [number, number, number][], expected: number): void {
  const bound = boundThroughput(
    engines.map(([from, to, layersPerSecond]) => ({ from, to, layersPerSecond })),
    4,
  );
  assert.ok(Math.abs(bound - expected) < 0.01 * expected + 1e-6, `${bound} against ${expected}`);
}

test('the bound is that of the scarcest layers', () => {
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
