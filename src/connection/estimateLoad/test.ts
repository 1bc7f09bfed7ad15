import assert from 'node:assert/strict';
import test from 'node:test';
import { estimateLoad } from './index.js';

test('a fresh report counts in full, an old one gives way to own work times the nodes', () => {
  const report = { local: 2, localAtReport: 1, reported: 9, nodes: 6 };
  assert.equal(estimateLoad({ ...report, ageMilliseconds: 0 }), 10);
  assert.ok(Math.abs(estimateLoad({ ...report, ageMilliseconds: 60_000 }) - 12) < 0.01);
});

test('own work that has ended since the report is not counted twice', () => {
  const load = estimateLoad({
    local: 0,
    localAtReport: 5,
    reported: 5,
    ageMilliseconds: 0,
    nodes: 6,
  });
  assert.equal(load, 0);
});
