/** Guards against bursts above the limit, and against a rate that is lost or exceeded after a pause. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createTokenBucket } from './index.js';

test('allows a burst, then the rate, and never saves up more than a burst', () => {
  let time = 0;
  const bucket = createTokenBucket({ tokensPerSecond: 10, burst: 2, now: () => time });
  assert.deepEqual([bucket.take(), bucket.take(), bucket.take()], [true, true, false]);
  time = 100;
  assert.deepEqual([bucket.take(), bucket.take()], [true, false]);
  time = 60_000;
  assert.equal(bucket.countAvailable(), 2);
});

test('takes no token when fewer are available than asked for', () => {
  const bucket = createTokenBucket({ tokensPerSecond: 10, burst: 2, now: () => 0 });
  assert.equal(bucket.take(3), false);
  assert.equal(bucket.take(2), true);
});
