import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { NodeRecord } from '../../../types/site/index.js';
import { listCallerAddresses } from './index.js';

function createNode(name: string, availabilityZone: string, isLeaving = false): NodeRecord {
  return {
    name,
    availabilityZone,
    callerAddress: name,
    peerAddress: `${name}-peer`,
    incarnation: 1,
    isLeaving,
  };
}

test('callers are sent to nodes of their zone, and to one elsewhere where only one is left', () => {
  const nodes = [
    createNode('a1', 'a'),
    createNode('a2', 'a'),
    createNode('b1', 'b'),
    createNode('b2', 'b', true),
  ];
  assert.deepEqual(
    listCallerAddresses(nodes, 'a', () => 0),
    ['a1', 'a2'],
  );
  assert.deepEqual(
    listCallerAddresses(nodes, 'b', () => 0),
    ['b1', 'a1'],
  );
});

test('a caller of an unknown zone gets addresses too, and a leaving node is never named', () => {
  const nodes = [createNode('a1', 'a', true), createNode('b1', 'b')];
  assert.deepEqual(
    listCallerAddresses(nodes, 'elsewhere', () => 0.9),
    ['b1'],
  );
});
