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

test('computes the same digest for the same states in any order of changes', () => {
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

test('computes the same digest with a dead member as with a removed one', () => {
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
