import assert from 'node:assert/strict';
import test from 'node:test';
import { adaptLimit, createConcurrencyLimit, type ConcurrencyLimit } from './index.js';

function feed(state: ConcurrencyLimit, latencyMilliseconds: number, count: number) {
  let next = state;
  for (let index = 0; index < count; index += 1) {
    const inFlight = next.limit;
    const bounds = { tolerance: 2, minimum: 4, maximum: 4_096 };
    next = adaptLimit({ state: next, latencyMilliseconds, inFlight, ...bounds });
  }
  return next;
}

test('raises the limit while latency is low and lowers it when latency rises', () => {
  const grown = feed(createConcurrencyLimit(16), 10, 2_000);
  assert.ok(grown.limit > 60, grown.limit.toString());
  const shrunk = feed(grown, 80, 400);
  assert.ok(shrunk.limit < grown.limit / 2, shrunk.limit.toString());
});

test('does not change a limit that is hardly used', () => {
  const state = { limit: 100, baseLatency: 10, recentLatency: 10 };
  const bounds = { tolerance: 2, minimum: 4, maximum: 4_096 };
  assert.equal(adaptLimit({ state, latencyMilliseconds: 10, inFlight: 3, ...bounds }).limit, 100);
  assert.equal(adaptLimit({ state, latencyMilliseconds: 90, inFlight: 3, ...bounds }).limit, 100);
});

test('raises the base latency only while the limit is at its minimum', () => {
  const shrinking = feed({ limit: 100, baseLatency: 10, recentLatency: 10 }, 80, 50);
  assert.equal(shrinking.baseLatency, 10);
  const atMinimum = feed({ limit: 4, baseLatency: 10, recentLatency: 80 }, 80, 50);
  assert.ok(atMinimum.baseLatency > 15);
});
