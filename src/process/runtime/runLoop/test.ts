import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLifeCycle } from '../../createLifeCycle/index.js';
import { runLoop } from './index.js';

test('a loop whose step throws continues, and does not end the process', async () => {
  const lifeCycle = createLifeCycle();
  const failures: unknown[] = [];
  let steps = 0;
  await new Promise<void>((resolve) => {
    runLoop({
      name: 'loop',
      lifeCycle,
      step: () => {
        steps += 1;
        if (steps === 1) throw new Error('internal');
        resolve();
        return Promise.resolve(1_000);
      },
      onFailure: (error) => failures.push(error),
    });
  });
  assert.equal(failures.length, 1);
  await lifeCycle.close();
});
