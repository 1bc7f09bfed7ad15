import assert from 'node:assert/strict';
import test from 'node:test';
import { estimateLoad } from './index.js';

test('uses a new report fully, and the local load times the number of nodes for an old one', () => {
  const report = { local: 2, localAtReport: 1, reported: 9, nodes: 6 };
  assert.equal(estimateLoad({ ...report, ageMilliseconds: 0 }), 10);
  assert.ok(Math.abs(estimateLoad({ ...report, ageMilliseconds: 60_000 }) - 12) < 0.01);
});

test('does not count local load that ended after the report', () => {
  const load = estimateLoad({
    local: 0,
    localAtReport: 5,
    reported: 5,
    ageMilliseconds: 0,
    nodes: 6,
  });
  assert.equal(load, 0);
});
