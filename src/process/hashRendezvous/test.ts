import assert from 'node:assert/strict';
import test from 'node:test';
import { findOwner, rankRendezvous } from './index.js';

const NODES = ['node-1', 'node-2', 'node-3', 'node-4', 'node-5', 'node-6'];
const KEYS = Array.from({ length: 600 }, (_, index) => `account-${index.toString()}`);

test('keys spread evenly, and a node that goes moves only its own keys', () => {
  const owners = KEYS.map((key) => findOwner(key, NODES));
  for (const node of NODES) {
    const count = owners.filter((owner) => owner === node).length;
    assert.ok(count > 60 && count < 145, `${node} owns ${count.toString()} of 600`);
  }
  const rest = NODES.slice(1);
  KEYS.forEach((key, index) => {
    if (owners[index] !== 'node-1') assert.equal(findOwner(key, rest), owners[index]);
  });
});

test('the owner is the first of the ranking', () => {
  for (const key of KEYS) assert.equal(rankRendezvous(key, NODES)[0], findOwner(key, NODES));
});
