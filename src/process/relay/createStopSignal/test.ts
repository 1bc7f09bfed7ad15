import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createStopSignal } from './index.js';

test('calls each registered callback once', () => {
  const failures: unknown[] = [];
  const signal = createStopSignal((error) => failures.push(error));
  const called: string[] = [];
  signal.onRaised(() => called.push('kept'));
  const remove = signal.onRaised(() => called.push('removed'));
  remove();
  signal.raise();
  signal.raise();
  assert.deepEqual(called, ['kept']);
  assert.ok(signal.isRaised());
  assert.deepEqual(failures, []);
});

test('a callback that throws does not keep the others from their call', () => {
  const failures: unknown[] = [];
  const signal = createStopSignal((error) => failures.push(error));
  let isCalled = false;
  signal.onRaised(() => {
    throw new Error('internal');
  });
  signal.onRaised(() => {
    isCalled = true;
  });
  signal.raise();
  assert.ok(isCalled);
  assert.equal(failures.length, 1);
});
