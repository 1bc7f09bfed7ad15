import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideStreamFailure } from './index.js';

test('refuses a stream only if it was not executed and will not be', () => {
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

test('reports an unknown outcome when a run has not ended at the deadline', () => {
  const conditions = { hasBegun: false, mayHaveRun: true };
  assert.equal(decideStreamFailure({ ...conditions, isTimeUp: true }).code, 'outcomeUnknown');
  assert.equal(decideStreamFailure({ ...conditions, isTimeUp: false }).code, 'endpointFailed');
});

test('announces the forecast, unless an endpoint asked for more time', () => {
  const conditions = { hasBegun: false, mayHaveRun: false, isTimeUp: false };
  const announce = (forecastMilliseconds?: number, retryMilliseconds?: number) =>
    decideStreamFailure({ ...conditions, forecastMilliseconds, retryMilliseconds })
      .retryAfterSeconds;
  assert.equal(announce(), 0.5);
  assert.equal(announce(200), 0.2);
  assert.equal(announce(3_200), 3.2);
  assert.equal(announce(200, 1_500), 1.5);
});
