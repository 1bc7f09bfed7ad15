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

test("returns nodes of the caller's zone, and one of another zone where only one is left", () => {
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

test('returns addresses for an unknown zone, and never those of leaving nodes', () => {
  const nodes = [createNode('a1', 'a', true), createNode('b1', 'b')];
  assert.deepEqual(
    listCallerAddresses(nodes, 'elsewhere', () => 0.9),
    ['b1'],
  );
});
