import assert from 'node:assert/strict';
import test from 'node:test';
import { findOwner, rankRendezvous } from './index.js';

const NODES = ['node-1', 'node-2', 'node-3', 'node-4', 'node-5', 'node-6'];
const KEYS = Array.from({ length: 600 }, (_, index) => `account-${index.toString()}`);

test('spreads keys evenly, and removing a node reassigns only its keys', () => {
  const owners = KEYS.map((key) => findOwner(key, NODES));
  for (const node of NODES) {
    const count = owners.filter((owner) => owner === node).length;
    assert.ok(count > 60 && count < 145, `${node} owns ${count.toString()} of 600`);
  }
  const remaining = NODES.slice(1);
  KEYS.forEach((key, index) => {
    if (owners[index] !== 'node-1') assert.equal(findOwner(key, remaining), owners[index]);
  });
});

test('the owner is ranked first', () => {
  for (const key of KEYS) assert.equal(rankRendezvous(key, NODES)[0], findOwner(key, NODES));
});
