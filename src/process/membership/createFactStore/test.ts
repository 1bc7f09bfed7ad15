import assert from 'node:assert/strict';
import test from 'node:test';
import { createFactStore } from './index.js';

const REPORT = { key: 'report/engine-1', version: 5, value: 'a' };

test('keeps the newer of two facts and computes the same digest in any order', () => {
  const left = createFactStore();
  const right = createFactStore();
  const newer = { ...REPORT, version: 6, value: 'b' };
  assert.ok(left.put(REPORT));
  assert.ok(left.put(newer));
  assert.ok(right.put(newer));
  assert.ok(!right.put(REPORT));
  assert.equal(left.digest(), right.digest());
  assert.deepEqual(left.listRetained(), [newer]);
});

test('does not retain loads and removes expired facts from the digest', () => {
  const facts = createFactStore();
  facts.put({ key: 'load/engine-1', version: 5, value: '4' });
  assert.equal(facts.digest(), 0);
  facts.put(REPORT);
  facts.removeExpired(5 + 86_400_000);
  assert.deepEqual(facts.listRetained(), []);
  assert.equal(facts.digest(), 0);
});
