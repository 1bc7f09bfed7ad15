import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRunCounter } from './index.js';

test('a stream that can be resumed runs again at least once, and never without end', () => {
  const counter = createRunCounter({ maximumAttempts: 1, isResumable: true });
  assert.ok(counter.mayRunAgain());
  assert.equal(counter.recordFailed(), 1);
  assert.ok(counter.mayRunAgain());
  assert.equal(counter.recordFailed(), 2);
  assert.ok(!counter.mayRunAgain());
});

test('a stream that cannot be resumed never runs again after it broke off', () => {
  assert.ok(!createRunCounter({ maximumAttempts: 3, isResumable: false }).mayRunAgain());
});

test('refused runs are no runs: the request may still be refused, and they are bounded apart', () => {
  const counter = createRunCounter({ maximumAttempts: 2, isResumable: true });
  for (let index = 0; index < 3; index += 1) counter.recordRefused();
  assert.ok(counter.mayRetryRefused());
  assert.ok(!counter.mayHaveRun());
  assert.ok(counter.mayRunAgain());
  assert.deepEqual(counter.count(false), { sends: 0, refused: 3 });
  counter.recordRefused();
  assert.ok(!counter.mayRetryRefused());
});
