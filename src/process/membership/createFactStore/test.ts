import assert from 'node:assert/strict';
import test from 'node:test';
import { createFactStore } from './index.js';

const REPORT = { key: 'report/engine-1', version: 5, value: 'a' };

test('an older fact does not replace a newer one, and digests agree whatever the order', () => {
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

test('loads are passed on but not kept, and old facts are forgotten with their digest', () => {
  const facts = createFactStore();
  facts.put({ key: 'load/engine-1', version: 5, value: '4' });
  assert.equal(facts.digest(), 0);
  facts.put(REPORT);
  facts.removeExpired(5 + 86_400_000);
  assert.deepEqual(facts.listRetained(), []);
  assert.equal(facts.digest(), 0);
});
