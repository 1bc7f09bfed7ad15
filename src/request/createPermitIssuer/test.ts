import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { countBusiestWindow } from '../../../tests/support/countBusiestWindow/index.js';
import { createPermitIssuer } from './index.js';

const WINDOW_MILLISECONDS = 4_000;

test('grants no more in any 4 s than the limit, half a second of it and one', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.1, max: 200, noNaN: true }),
      fc.array(fc.record({ pause: fc.nat(3_000), wait: fc.nat(1_000) }), { maxLength: 400 }),
      (permitsPerSecond, demands) => {
        const issuer = createPermitIssuer();
        let now = 0;
        const times: number[] = [];
        for (const { pause, wait } of demands) {
          now += pause / permitsPerSecond;
          const demand = { key: 'i-1', permitsPerSecond, maximumWaitMilliseconds: wait };
          const { isGranted, waitMilliseconds } = issuer.reserve(demand, now);
          if (isGranted) times.push(now + waitMilliseconds);
        }
        const most = countBusiestWindow(
          times.sort((left, right) => left - right),
          WINDOW_MILLISECONDS,
        );
        assert.ok(
          most <= Math.ceil(permitsPerSecond * 4.5) + 1,
          `${most} at ${permitsPerSecond} a second`,
        );
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

test('grants the whole limit to requests that may wait', () => {
  const issuer = createPermitIssuer();
  let granted = 0;
  for (let now = 0; now < 20_000; now += 40) {
    const demand = { key: 'i-1', permitsPerSecond: 3.2, maximumWaitMilliseconds: 300 };
    if (issuer.reserve(demand, now).isGranted) granted += 1;
  }
  assert.ok(granted >= 0.95 * 20 * 3.2, `${granted} of 64`);
});

test('the first permit of a key is due after a whole interval, as another issuer may have granted one just before', () => {
  const issuer = createPermitIssuer();
  const demand = { key: 'i-1', permitsPerSecond: 2, maximumWaitMilliseconds: 1_000 };
  assert.deepEqual(issuer.reserve(demand, 100), { isGranted: true, waitMilliseconds: 500 });
  assert.deepEqual(issuer.reserve({ ...demand, key: 'i-2', since: 0 }, 100), {
    isGranted: true,
    waitMilliseconds: 400,
  });
});

test('a denied demand takes no permit and names the time of the next one', () => {
  const issuer = createPermitIssuer();
  const demand = { key: 'i-1', permitsPerSecond: 1, maximumWaitMilliseconds: 0 };
  assert.deepEqual(issuer.reserve(demand, 0), { isGranted: false, waitMilliseconds: 1_000 });
  assert.deepEqual(issuer.reserve(demand, 400), { isGranted: false, waitMilliseconds: 600 });
  assert.deepEqual(issuer.reserve(demand, 1_000), { isGranted: true, waitMilliseconds: 0 });
});

test('an endpoint that announces 0 gets a request from time to time', () => {
  const issuer = createPermitIssuer({ minimumPerSecond: 0.25 });
  const demand = { key: 'i-1', permitsPerSecond: 0, maximumWaitMilliseconds: 0 };
  const granted = [0, 4_000, 5_000, 8_000].map((now) => issuer.reserve(demand, now).isGranted);
  assert.deepEqual(granted, [false, true, false, true]);
});
