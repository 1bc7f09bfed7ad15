import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRunCounter } from './index.js';

test('restarts a resumable stream at least once and a limited number of times', () => {
  const counter = createRunCounter({ maximumAttempts: 1, isResumable: true });
  assert.ok(counter.mayRunAgain());
  assert.equal(counter.recordFailed(), 1);
  assert.ok(counter.mayRunAgain());
  assert.equal(counter.recordFailed(), 2);
  assert.ok(!counter.mayRunAgain());
});

test('never restarts a failed stream that is not resumable', () => {
  assert.ok(!createRunCounter({ maximumAttempts: 3, isResumable: false }).mayRunAgain());
});

test('does not count refused runs as sends, and limits them separately', () => {
  const counter = createRunCounter({ maximumAttempts: 2, isResumable: true });
  for (let index = 0; index < 3; index += 1) counter.recordRefused();
  assert.ok(counter.mayRetryRefused());
  assert.ok(!counter.mayHaveRun());
  assert.ok(counter.mayRunAgain());
  assert.deepEqual(counter.count(false), { sends: 0, refused: 3 });
  counter.recordRefused();
  assert.ok(!counter.mayRetryRefused());
});

test('a run that reached no endpoint makes the next one no repeat, and counts towards the limit of refused ones', () => {
  const counter = createRunCounter({ maximumAttempts: 2, isResumable: true });
  for (let index = 0; index < 4; index += 1) counter.recordNotSent();
  assert.ok(!counter.isRepeat());
  assert.ok(!counter.mayRetryRefused());
  assert.ok(createRunCounter({ maximumAttempts: 2, isResumable: true }, true).isRepeat());
});

test('allows no further run once the attempts may be used up elsewhere', () => {
  const counter = createRunCounter({ maximumAttempts: 3, isResumable: true });
  counter.recordExhausted();
  assert.ok(!counter.mayRunAgain());
  assert.ok(!counter.mayReplaceRun(1));
  assert.ok(counter.isLastRun());
});
