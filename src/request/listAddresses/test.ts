import assert from 'node:assert/strict';
import test from 'node:test';
import type { Member, MemberState } from '../../types/peer/index.js';
import { listAddresses } from './index.js';

function createMember(node: string, state: MemberState, availabilityZone = 'a'): Member {
  const address = `${node}:80`;
  const common = { incarnation: 1, peerAddress: address, callerAddress: address, revision: 1 };
  return { node, state, availabilityZone, ...common };
}

function list(members: readonly Member[], homeNodes: number): string[] {
  const { addresses } = listAddresses({
    account: 'kiosk',
    homeNodes,
    members,
    availabilityZone: 'a',
    revision: 1,
    expiresInSeconds: 30,
  });
  return addresses.map(({ address }) => address);
}

test('leaves out nodes that are leaving, suspected or dead', () => {
  const members = [
    createMember('n1', 'alive'),
    createMember('n2', 'leaving'),
    createMember('n3', 'suspect'),
    createMember('n4', 'dead'),
  ];
  assert.deepEqual(list(members, 4), ['n1:80']);
});

test('keeps the home nodes of an account and lists those of the local zone first', () => {
  const members = ['n1', 'n2', 'n3', 'n4', 'n5'].map((node, index) =>
    createMember(node, 'alive', index % 2 === 0 ? 'b' : 'a'),
  );
  const homes = list(members, 5);
  assert.deepEqual(new Set(homes.slice(0, 2)), new Set(['n2:80', 'n4:80']));
  assert.deepEqual(list(members, 3), list([...members].reverse(), 3));
});
