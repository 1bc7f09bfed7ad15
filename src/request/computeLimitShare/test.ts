import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { computeLimitShare } from './index.js';

test('divides the limit so that all shares add up to it when the demand is higher', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 500 }), { minLength: 1, maxLength: 8 }),
      fc.integer({ min: 1, max: 300 }),
      (demands, limit) => {
        const total = demands.reduce((sum, demand) => sum + demand, 0);
        const admitted = demands.reduce((sum, localDemand, index) => {
          const peerDemands = demands.filter((_, other) => other !== index);
          const part = computeLimitShare({ limit, localDemand, peerDemands, initialShare: 1 });
          return sum + Math.min(part, localDemand);
        }, 0);
        assert.ok(Math.abs(admitted - Math.min(total, limit)) < 1e-6);
      },
    ),
    { seed: 14, numRuns: 300 },
  );
});

test('uses the initial share while no demand is known', () => {
  const part = computeLimitShare({
    limit: 30,
    localDemand: 0,
    peerDemands: [],
    initialShare: 1 / 3,
  });
  assert.equal(part, 10);
});
