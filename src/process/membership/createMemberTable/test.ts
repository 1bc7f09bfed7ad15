import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member, MemberState } from '../../../types/peer/index.js';
import { createMemberTable } from './index.js';

function createMember(node: string, state: MemberState): Member {
  return {
    node,
    state,
    incarnation: 1,
    availabilityZone: 'a',
    peerAddress: `${node}:1`,
    callerAddress: `${node}:2`,
    revision: 0,
  };
}

test('the digest follows states, whatever the order of changes', () => {
  const left = createMemberTable();
  const right = createMemberTable();
  left.put(createMember('one', 'suspect'));
  left.put(createMember('two', 'alive'));
  left.put(createMember('one', 'alive'));
  right.put(createMember('two', 'alive'));
  right.put(createMember('one', 'alive'));
  assert.equal(left.digest(), right.digest());
  assert.equal(left.countAlive(), 2);
});

test('a dead member and a forgotten one leave the same digest', () => {
  const table = createMemberTable();
  table.put(createMember('one', 'alive'));
  const before = table.digest();
  table.put(createMember('two', 'dead'));
  assert.equal(table.digest(), before);
  table.remove('two');
  assert.equal(table.digest(), before);
  table.remove('one');
  assert.equal(table.digest(), 0);
});
