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

test('only a confirmed intent of this attempt lets it send', () => {
  assert.equal(decide({ kind: 'swapped', revision: 1 }), 'send');
  assert.equal(decide(conflict({ state: 'intent', attempt: 'own' })), 'send');
  assert.equal(decide(conflict({ state: 'intent' })), 'join');
  assert.equal(decide(conflict({ state: 'answered' })), 'replay');
  assert.equal(decide(conflict({ state: 'unknown' })), 'unknown');
  assert.equal(decide(conflict({ state: 'unknown', attempt: 'own' })), 'unknown');
});

test('a lost reply is read back, an absent record is claimed again, an abandoned one is taken over', () => {
  assert.equal(decide({ kind: 'unknown' }), 'readBack');
  assert.equal(decide({ kind: 'entry', entry: null }), 'claim');
  assert.equal(decide(conflict({ state: 'abandoned' })), 'claim');
  assert.equal(decide({ kind: 'refused' }), 'notRun');
});

test('a try that comes late does not run what a later try was told has not run', () => {
  assert.equal(decide(conflict({ state: 'abandoned', tryNumber: 2 })), 'claim');
  assert.equal(decide(conflict({ state: 'abandoned', tryNumber: 3 })), 'unknown');
});

test('a key that belongs to another request is refused, and a broken record is in doubt', () => {
  assert.equal(decide(conflict({ state: 'answered', digest: 'different' })), 'keyReused');
  assert.equal(decide({ kind: 'entry', entry: { key: 'k', value: '{', revision: 1 } }), 'unknown');
});
