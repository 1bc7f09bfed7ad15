/**
 * Guards against a demand that counts only admitted requests, so that a priority which is refused seems to need
 * nothing, and against rates that a node which has just started reports too low.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { createDemandMeter } from './index.js';

const REQUEST = { priority: 1, tokenLayers: 72_000 };

test('reports the rate of arrivals, from the first rounds on', () => {
  const meter = createDemandMeter({ startedAt: 0 });
  for (let now = 0; now < 6_000; now += 10) {
    meter.record(REQUEST, now);
    if (now < 600 || now % 300 !== 0) continue;
    const [demand] = meter.read(now).priorities;
    assert.ok(Math.abs((demand?.requestsPerSecond ?? 0) - 100) < 5, `at ${now} ms`);
    assert.ok(Math.abs((demand?.tokenLayersPerSecond ?? 0) / 72_000 - 100) < 5, `at ${now} ms`);
  }
  const [demand] = meter.read(12_000).priorities;
  assert.ok((demand?.requestsPerSecond ?? 0) < 2, 'the rate falls after the last arrival');
});

test('equals a naive sum over all arrivals, and holds what has not ended', () => {
  const arrivals = fc.array(
    fc.record({
      priority: fc.integer({ min: 1, max: 3 }),
      at: fc.integer({ min: 0, max: 8_000 }),
      stay: fc.integer({ min: 0, max: 5_000 }),
    }),
    { maxLength: 60 },
  );
  fc.assert(
    fc.property(arrivals, (list) => {
      const meter = createDemandMeter({ startedAt: 0 });
      const events = list.flatMap(({ priority, at, stay }) => {
        let end: (endedAt: number) => void = () => undefined;
        const request = { priority, tokenLayers: 10 };
        return [
          {
            at,
            run: () => {
              meter.record(request, at);
              end = meter.hold(request, at);
            },
          },
          {
            at: at + stay,
            run: () => {
              end(at + stay);
            },
          },
        ];
      });
      const now = 8_000;
      for (const { at, run } of events.sort((left, right) => left.at - right.at))
        if (at <= now) run();
      const window = 1.5 * (1 - Math.exp(-now / 1_500));
      const { priorities, stayMilliseconds } = meter.read(now);
      for (const { priority, requestsPerSecond, heldRequests } of priorities) {
        const own = list.filter((arrival) => arrival.priority === priority);
        const sum = own.reduce((total, { at }) => total + Math.exp((at - now) / 1_500), 0);
        assert.ok(Math.abs(requestsPerSecond - sum / window) < 1e-6);
        assert.equal(heldRequests, own.filter(({ at, stay }) => at + stay > now).length);
      }
      const stays = list.filter(({ at, stay }) => at + stay <= now).map(({ stay }) => stay);
      assert.ok(stayMilliseconds >= Math.min(0, ...stays) - 1e-6);
      assert.ok(stayMilliseconds <= Math.max(0, ...stays) + 1e-6);
    }),
    { seed: 44, numRuns: 200 },
  );
});
