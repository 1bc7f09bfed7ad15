import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideStreamFailure } from './index.js';

test('a stream is refused only if it has not run and never will', () => {
  const sides = [false, true];
  for (const hasBegun of sides)
    for (const mayHaveRun of sides)
      for (const isTimeUp of sides) {
        const { code, retryAfterSeconds } = decideStreamFailure({ hasBegun, mayHaveRun, isTimeUp });
        const hasNotRun = !hasBegun && !mayHaveRun;
        assert.equal(code === 'overloaded', hasNotRun);
        assert.equal(retryAfterSeconds !== undefined, hasNotRun);
      }
});

test('a run without an end when time is up has an unknown outcome', () => {
  const facts = { hasBegun: false, mayHaveRun: true };
  assert.equal(decideStreamFailure({ ...facts, isTimeUp: true }).code, 'outcomeUnknown');
  assert.equal(decideStreamFailure({ ...facts, isTimeUp: false }).code, 'endpointFailed');
});
