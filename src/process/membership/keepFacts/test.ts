import assert from 'node:assert/strict';
import test from 'node:test';
import { createFacts } from './index.js';

const REPORT = { key: 'report/engine-1', version: 5, value: 'a' };

test('an older fact does not replace a newer one, and digests agree whatever the order', () => {
  const left = createFacts();
  const right = createFacts();
  const newer = { ...REPORT, version: 6, value: 'b' };
  assert.ok(left.take(REPORT));
  assert.ok(left.take(newer));
  assert.ok(right.take(newer));
  assert.ok(!right.take(REPORT));
  assert.equal(left.digest(), right.digest());
  assert.deepEqual(left.listKept(), [newer]);
});

test('loads are passed on but not kept, and old facts are forgotten with their digest', () => {
  const facts = createFacts();
  facts.take({ key: 'load/engine-1', version: 5, value: '4' });
  assert.equal(facts.digest(), 0);
  facts.take(REPORT);
  facts.forgetOld(5 + 86_400_000);
  assert.deepEqual(facts.listKept(), []);
  assert.equal(facts.digest(), 0);
});
