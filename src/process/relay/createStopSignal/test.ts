import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createStopSignal } from './index.js';

test('calls each registered callback once', () => {
  const signal = createStopSignal();
  const called: string[] = [];
  signal.onRaised(() => called.push('kept'));
  const remove = signal.onRaised(() => called.push('removed'));
  remove();
  signal.raise();
  signal.raise();
  assert.deepEqual(called, ['kept']);
  assert.ok(signal.isRaised());
});
