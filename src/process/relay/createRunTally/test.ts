import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRunTally } from './index.js';

test('a stream that can be resumed runs again at least once, and never without end', () => {
  const tally = createRunTally({ maximumAttempts: 1, isResumable: true });
  assert.ok(tally.mayRunAgain());
  assert.equal(tally.noteBroken(), 1);
  assert.ok(tally.mayRunAgain());
  assert.equal(tally.noteBroken(), 2);
  assert.ok(!tally.mayRunAgain());
});

test('a stream that cannot be resumed never runs again after it broke off', () => {
  assert.ok(!createRunTally({ maximumAttempts: 3, isResumable: false }).mayRunAgain());
});

test('refused runs are no runs: the request may still be refused, and they are bounded apart', () => {
  const tally = createRunTally({ maximumAttempts: 2, isResumable: true });
  for (let index = 0; index < 3; index += 1) tally.noteRefused();
  assert.ok(tally.mayRetryRefused());
  assert.ok(!tally.mayHaveRun());
  assert.ok(tally.mayRunAgain());
  assert.deepEqual(tally.count(false), { sends: 0, refused: 3 });
  tally.noteRefused();
  assert.ok(!tally.mayRetryRefused());
});
