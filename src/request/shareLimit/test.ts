import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { computeLimitShare } from './index.js';

test('the parts of all nodes add up to the limit when demand is above it', () => {
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

test('a node that knows of no demand takes its first part only', () => {
  const part = computeLimitShare({
    limit: 30,
    localDemand: 0,
    peerDemands: [],
    initialShare: 1 / 3,
  });
  assert.equal(part, 10);
});
