import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseFollowerRole } from './index.js';

function listRoles(names: readonly string[], cut: readonly string[] = []): Map<string, string> {
  return new Map(
    names.map((self) => {
      const others = names.filter((name) => name !== self && !cut.includes(name));
      return [self, chooseFollowerRole({ self, others, isReachable: !cut.includes(self) })];
    }),
  );
}

function listFollowers(roles: ReadonlyMap<string, string>): string[] {
  return [...roles].filter(([, role]) => role === 'forOthers').map(([name]) => name);
}

const NAMES = Array.from({ length: 39 }, (_, index) => `node-${index}`);

test('a few nodes follow the store each by itself', () => {
  for (const role of listRoles(['a', 'b', 'c', 'd', 'e', 'f']).values())
    assert.equal(role, 'alone');
});

test('two of many nodes follow the store for all', () => {
  assert.equal(listFollowers(listRoles(NAMES)).length, 2);
});

test('other nodes replace followers without access to the store', () => {
  const followers = listFollowers(listRoles(NAMES));
  const roles = listRoles(NAMES, followers);
  assert.equal(listFollowers(roles).length, 2);
  for (const name of followers) assert.equal(roles.get(name), 'throughOthers');
});

test('a node that knows no node with access to the store follows by itself', () => {
  assert.equal(chooseFollowerRole({ self: 'a', others: [], isReachable: false }), 'alone');
});
