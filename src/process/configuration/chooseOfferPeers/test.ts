import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member } from '../../../types/peer/index.js';
import { chooseOfferPeers } from './index.js';

function createMember(node: string, availabilityZone: string, state: Member['state']): Member {
  return {
    node,
    availabilityZone,
    state,
    incarnation: 1,
    peerAddress: `${node}:1`,
    callerAddress: `${node}:2`,
    revision: 0,
  };
}

test('chooses live peers of other availability zones first', () => {
  const members = [
    createMember('self', 'a', 'alive'),
    createMember('near', 'a', 'alive'),
    createMember('far', 'b', 'alive'),
    createMember('dead', 'b', 'dead'),
    createMember('leaving', 'c', 'leaving'),
  ];
  const chosen = chooseOfferPeers({
    members,
    self: { node: 'self', availabilityZone: 'a' },
    random: () => 0.5,
  });
  assert.deepEqual(
    chosen.map(({ node }) => node),
    ['far', 'near'],
  );
});
