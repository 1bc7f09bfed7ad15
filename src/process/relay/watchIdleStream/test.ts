import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVirtualTime } from '../../../../emulator/createVirtualTime/index.js';
import { watchIdleStream } from './index.js';

const LIMIT = 200;
const REPLACE = 1_500;

function createCase(replaceableAt: number) {
  const clock = createVirtualTime();
  const rounds: number[] = [];
  const replaceAttempts: number[] = [];
  const watch = watchIdleStream({
    clock,
    getIdleLimit: () => LIMIT,
    getReplaceLimit: () => REPLACE,
    onIdle: () => {
      rounds.push(clock.now());
    },
    onReplace: () => {
      replaceAttempts.push(clock.now());
      return clock.now() >= replaceableAt;
    },
  });
  return { clock, rounds, replaceAttempts, watch };
}

test('calls `onIdle` at doubling times, and then replaces the run once', async () => {
  const { clock, rounds, replaceAttempts, watch } = createCase(0);
  watch.reset();
  await clock.run(10_000);
  assert.deepEqual(rounds, [200, 400, 800]);
  assert.deepEqual(replaceAttempts, [REPLACE]);
});

test('retries to replace the run until a replacement is possible', async () => {
  const { clock, replaceAttempts, watch } = createCase(2_500);
  watch.reset();
  await clock.run(10_000);
  assert.deepEqual(replaceAttempts, [1_500, 1_900, 2_300, 2_700]);
});

test('stops the attempts to replace the run when a late event arrives', async () => {
  const { clock, replaceAttempts, watch } = createCase(Number.POSITIVE_INFINITY);
  watch.reset();
  await clock.run(2_000);
  watch.reset();
  await clock.run(3_400);
  assert.deepEqual(replaceAttempts, [1_500, 1_900]);
});
