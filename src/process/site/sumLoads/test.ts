import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sumLoads } from './index.js';

test('counts nodes without a load report as the mean of the reporting nodes of their zone', () => {
  const reported = [
    { availabilityZone: 'mission', loads: [['i-1', 2, 900] as const] },
    { availabilityZone: 'mission', loads: [['i-1', 4, 1_100] as const] },
    { availabilityZone: 'abbotsford', loads: [['i-1', 1, 100] as const] },
  ];
  const counts: Readonly<Record<string, number>> = { mission: 4, abbotsford: 1 };
  const sum = sumLoads(reported, (zone) => counts[zone] ?? 0).get('i-1');
  assert.deepEqual(sum, { requests: 13, tokenLayers: 4_100 });
});

test('does not reduce reported loads when no live nodes are counted in the zone', () => {
  const reported = [{ availabilityZone: 'mission', loads: [['i-1', 2, 900] as const] }];
  assert.deepEqual(sumLoads(reported, () => 0).get('i-1'), { requests: 2, tokenLayers: 900 });
});
