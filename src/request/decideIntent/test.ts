import assert from 'node:assert/strict';
import test from 'node:test';
import type { PlatformResult } from '../../types/platform/index.js';
import { decideIntent, type JournalRecord } from './index.js';

function decide(result: PlatformResult) {
  return decideIntent({ result, attempt: 'own', digest: 'digest', tryNumber: 2 }).kind;
}

function conflict(changes: Partial<JournalRecord>): PlatformResult {
  const record = { attempt: 'other', node: 'n', incarnation: 1, digest: 'digest', ...changes };
  return { kind: 'conflict', entry: { key: 'k', value: JSON.stringify(record), revision: 7 } };
}

test('sends only after a confirmed intent of this attempt', () => {
  assert.equal(decide({ kind: 'swapped', revision: 1 }), 'send');
  assert.equal(decide(conflict({ state: 'intent', attempt: 'own' })), 'send');
  assert.equal(decide(conflict({ state: 'intent' })), 'join');
  assert.equal(decide(conflict({ state: 'answered' })), 'replay');
  assert.equal(decide(conflict({ state: 'unknown' })), 'unknown');
  assert.equal(decide(conflict({ state: 'unknown', attempt: 'own' })), 'unknown');
});

test('reads back after a lost reply, and claims an absent or abandoned record', () => {
  assert.equal(decide({ kind: 'unknown' }), 'readBack');
  assert.equal(decide({ kind: 'entry', entry: null }), 'claim');
  assert.equal(decide(conflict({ state: 'abandoned' })), 'claim');
  assert.equal(decide({ kind: 'refused' }), 'notRun');
});

test('does not run an earlier try after a later try was reported as not executed', () => {
  assert.equal(decide(conflict({ state: 'abandoned', tryNumber: 2 })), 'claim');
  assert.equal(decide(conflict({ state: 'abandoned', tryNumber: 3 })), 'unknown');
});

test('refuses a key of another request, and treats an invalid record as in doubt', () => {
  assert.equal(decide(conflict({ state: 'answered', digest: 'different' })), 'keyReused');
  assert.equal(decide({ kind: 'entry', entry: { key: 'k', value: '{', revision: 1 } }), 'unknown');
});
