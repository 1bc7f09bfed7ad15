import assert from 'node:assert/strict';
import test from 'node:test';
import { createRateLimiter } from './index.js';

/** Offers 100 requests a second for some seconds and counts the admitted ones of the last five. */
function countAdmitted(
  tellPeers: (limiter: ReturnType<typeof createRateLimiter>, now: number) => void,
): number {
  const limiter = createRateLimiter();
  let admitted = 0;
  for (let now = 0; now < 15_000; now += 10) {
    if (now % 1_000 === 500) {
      limiter.listDemands(now);
      tellPeers(limiter, now);
    }
    const wait = limiter.admit({ account: 'a', limit: 30, homeNodes: 3, now });
    if (wait === 0 && now >= 10_000) admitted += 1;
  }
  return admitted / 5;
}

test('a node that alone serves an account gives it the whole limit', () => {
  const rate = countAdmitted(() => undefined);
  assert.ok(Math.abs(rate - 30) < 1.5, rate.toString());
});

test('a node shares the limit with a peer that has the same demand', () => {
  const rate = countAdmitted((limiter, now) => {
    limiter.takePeerDemand('peer', { account: 'a', requestsPerSecond: 100 }, now);
  });
  assert.ok(Math.abs(rate - 15) < 1, rate.toString());
});
