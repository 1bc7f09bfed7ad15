import assert from 'node:assert/strict';
import test from 'node:test';
import { createLifeCycle } from './index.js';

test('closes all owned resources in reverse order, even when one fails to close', async () => {
  const closed: string[] = [];
  const lifeCycle = createLifeCycle();
  lifeCycle.own({ name: 'first', close: () => void closed.push('first') });
  lifeCycle.own({
    name: 'broken',
    close: () => {
      throw new Error('broken');
    },
  });
  const disown = lifeCycle.own({ name: 'given up', close: () => void closed.push('given up') });
  lifeCycle.own({ name: 'last', close: () => void closed.push('last') });
  disown();
  await assert.rejects(lifeCycle.close(), AggregateError);
  assert.deepEqual(closed, ['last', 'first']);
  assert.deepEqual(lifeCycle.listOwned(), []);
});
