import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideStreamFailure } from './index.js';

test('a stream is refused only if it has not run and never will', () => {
  const values = [false, true];
  for (const hasBegun of values)
    for (const mayHaveRun of values)
      for (const isTimeUp of values) {
        const { code, retryAfterSeconds } = decideStreamFailure({ hasBegun, mayHaveRun, isTimeUp });
        const wasNeverRun = !hasBegun && !mayHaveRun;
        assert.equal(code === 'overloaded', wasNeverRun);
        assert.equal(retryAfterSeconds !== undefined, wasNeverRun);
      }
});

test('a run without an end when time is up has an unknown outcome', () => {
  const conditions = { hasBegun: false, mayHaveRun: true };
  assert.equal(decideStreamFailure({ ...conditions, isTimeUp: true }).code, 'outcomeUnknown');
  assert.equal(decideStreamFailure({ ...conditions, isTimeUp: false }).code, 'endpointFailed');
});
