/**
 * Guards against a time limit that throws away what arrived while the process was held up, and against one that a
 * process that is held up never ends.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startTimeLimit } from './index.js';

const LIMIT_MILLISECONDS = 100;

/** Length of repeated stalls, in milliseconds. */
const STALL_MILLISECONDS = 60;

/**
 * Stalls until the limit must have elapsed: the limit and its extension, one stall for the lateness of each of the two
 * last timers, and two for what is read at last.
 */
const MAXIMUM_STALLS = Math.ceil((2 * LIMIT_MILLISECONDS) / STALL_MILLISECONDS) + 4;

/** Keeps the event loop from running. */
function stall(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

/** Measures how long a time limit takes when the process is held up at its start. */
async function measureLimit(stallMilliseconds: number): Promise<number> {
  const startedAt = performance.now();
  await new Promise<void>((resolve) => {
    startTimeLimit(LIMIT_MILLISECONDS, resolve);
    setImmediate(() => {
      stall(stallMilliseconds);
    });
  });
  return performance.now() - startedAt;
}

test('elapses after the limit in a process that runs', async () => {
  const elapsed = await measureLimit(0);
  assert.ok(elapsed >= LIMIT_MILLISECONDS - 1, `${elapsed} ms`);
});

for (const [stallMilliseconds, least] of [
  [90, 150],
  [150, 240],
  [1_000, 1_095],
] as const) {
  test(`gives the time of a stall of ${stallMilliseconds} ms once more, up to the limit`, async () => {
    const elapsed = await measureLimit(stallMilliseconds);
    assert.ok(elapsed >= least, `${elapsed} ms`);
  });
}

test('elapses in a process that is held up again and again', async () => {
  let elapsed = 0;
  startTimeLimit(LIMIT_MILLISECONDS, () => {
    elapsed += 1;
  });
  for (let stalls = 0; stalls < MAXIMUM_STALLS && elapsed === 0; stalls += 1) {
    stall(STALL_MILLISECONDS);
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(elapsed, 1);
});

test('does not elapse when it is cancelled, also while the last arrivals are read', async () => {
  let elapsed = 0;
  const count = (): void => {
    elapsed += 1;
  };
  startTimeLimit(LIMIT_MILLISECONDS, count)();
  const cancelLate = startTimeLimit(LIMIT_MILLISECONDS, count);
  setTimeout(cancelLate, LIMIT_MILLISECONDS / 2);
  await new Promise((resolve) => setTimeout(resolve, 3 * LIMIT_MILLISECONDS));
  assert.equal(elapsed, 0);
});
