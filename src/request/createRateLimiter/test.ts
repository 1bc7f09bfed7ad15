import assert from 'node:assert/strict';
import test from 'node:test';
import { createRateLimiter } from './index.js';

/** Offers 100 requests per second for 15 seconds and returns the rate admitted in the last five. */
function countAdmitted(
  addPeerDemand: (limiter: ReturnType<typeof createRateLimiter>, now: number) => void,
): number {
  const limiter = createRateLimiter();
  let admitted = 0;
  for (let now = 0; now < 15_000; now += 10) {
    if (now % 1_000 === 500) {
      limiter.listDemands(now);
      addPeerDemand(limiter, now);
    }
    const wait = limiter.admit({ account: 'a', limit: 30, homeNodes: 3, now });
    if (wait === 0 && now >= 10_000) admitted += 1;
  }
  return admitted / 5;
}

test('gives an account the full limit when no other node serves it', () => {
  const rate = countAdmitted(() => undefined);
  assert.ok(Math.abs(rate - 30) < 1.5, rate.toString());
});

test('shares the limit equally with a peer that has the same demand', () => {
  const rate = countAdmitted((limiter, now) => {
    limiter.recordPeerDemand('peer', { account: 'a', requestsPerSecond: 100 }, now);
  });
  assert.ok(Math.abs(rate - 15) < 1, rate.toString());
});
