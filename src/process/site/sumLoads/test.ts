import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sumLoads } from './index.js';

test('nodes that were not heard count as the mean of those of their zone that were', () => {
  const heard = [
    { availabilityZone: 'mission', loads: [['i-1', 2, 900] as const] },
    { availabilityZone: 'mission', loads: [['i-1', 4, 1_100] as const] },
    { availabilityZone: 'abbotsford', loads: [['i-1', 1, 100] as const] },
  ];
  const counts: Readonly<Record<string, number>> = { mission: 4, abbotsford: 1 };
  const sum = sumLoads(heard, (zone) => counts[zone] ?? 0).get('i-1');
  assert.deepEqual(sum, { requests: 13, tokenLayers: 4_100 });
});

test('nodes that have gone do not shrink what the rest told', () => {
  const heard = [{ availabilityZone: 'mission', loads: [['i-1', 2, 900] as const] }];
  assert.deepEqual(sumLoads(heard, () => 0).get('i-1'), { requests: 2, tokenLayers: 900 });
});
