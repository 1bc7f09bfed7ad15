import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { coversLayers, formatTrace, checkToken } from './index.js';

const STAGES = [
  { engine: 'a', address: '', from: 0, to: 16 },
  { engine: 'b', address: '', from: 16, to: 48 },
];
const expectedTrace = formatTrace(STAGES);

function check(index: number, changes: { trace?: string; attempt?: string } = {}) {
  const { trace = expectedTrace, attempt = 'live' } = changes;
  const line = { index, trace, text: '' };
  return checkToken({ line, attempt, liveAttempt: 'live', nextIndex: 3, expectedTrace });
}

test('reports each kind of invalid token', () => {
  assert.equal(check(3), 'deliver');
  assert.equal(check(2), 'duplicate');
  assert.equal(check(4), 'gap');
  assert.equal(check(3, { attempt: 'ended' }), 'endedAttempt');
  assert.equal(check(3, { trace: 'a:0-16' }), 'wrongLayers');
  assert.equal(check(3, { trace: 'a:0-16,a:0-16,b:16-48' }), 'wrongLayers');
  assert.equal(check(3, { trace: 'b:16-48,a:0-16' }), 'wrongLayers');
});

test('delivers tokens 0, 1, 2 and so on for any order of late, repeated and foreign tokens', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          index: fc.integer({ min: 0, max: 8 }),
          attempt: fc.constantFrom('live', 'ended'),
          trace: fc.constantFrom(expectedTrace, 'a:0-16'),
        }),
        { maxLength: 60 },
      ),
      (lines) => {
        const delivered: number[] = [];
        for (const { index, attempt, trace } of lines) {
          const line = { index, trace, text: '' };
          const nextIndex = delivered.length;
          const result = checkToken({
            line,
            attempt,
            liveAttempt: 'live',
            nextIndex,
            expectedTrace,
          });
          if (result === 'deliver') delivered.push(index);
        }
        assert.deepEqual(delivered, [...delivered.keys()]);
      },
    ),
    { seed: 12, numRuns: 300 },
  );
});

test('rejects stages with a gap, an overlap or a missing end', () => {
  assert.ok(coversLayers(STAGES, 48));
  assert.ok(!coversLayers(STAGES, 64));
  assert.ok(!coversLayers([{ engine: 'a', address: '', from: 1, to: 48 }], 48));
  assert.ok(!coversLayers([...STAGES, { engine: 'c', address: '', from: 40, to: 48 }], 48));
});
