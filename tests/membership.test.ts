/**
 * Membership under kills, pauses, one-way loss, availability-zone cuts and a store that is out.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { NodeDecisions } from '../src/process/node/nodeDecisions/index.js';
import { createVirtualFleet } from '../standins/createVirtualFleet/index.js';
import type { VirtualSystem } from '../standins/createVirtualSystem/index.js';
import { startSystem } from './support/index.js';

interface Conditions {
  isStoreDown: boolean;
  isCut: (from: string, to: string) => boolean;
}

interface State {
  readonly node: string;
  readonly state: string;
}

function startMembers(nodes: number, seed: number, decisions?: NodeDecisions) {
  const conditions: Conditions = { isStoreDown: false, isCut: () => false };
  const system = startSystem(createVirtualFleet({ engines: [] }), {
    nodes,
    seed,
    decisions,
    isCut: (from, to) => conditions.isCut(from, to),
    decideFate: () => (conditions.isStoreDown ? 'refused' : 'done'),
  });
  return { system, conditions };
}

function readStates(system: VirtualSystem, viewer: string): Map<string, string> {
  const request = `status-${viewer}-${system.queue.now().toString()}`;
  system.feed(viewer, {
    kind: 'operatorRequest',
    request,
    method: 'GET',
    path: '/v1/status',
    body: '',
  });
  const body = system.answers.get(request)?.body ?? '{"nodes":[]}';
  const { nodes } = JSON.parse(body) as { nodes: State[] };
  return new Map(nodes.map(({ node, state }) => [node, state]));
}

function countStates(system: VirtualSystem, viewers: readonly string[], state: string): number {
  return viewers.reduce(
    (sum, viewer) =>
      sum + [...readStates(system, viewer).values()].filter((seen) => seen === state).length,
    0,
  );
}

test('a killed node is dead for every other within 12 seconds, also while the store is out', () => {
  const { system, conditions } = startMembers(12, 1);
  conditions.isStoreDown = true;
  system.kill('node-5');
  system.run(12_000);
  const others = system.names.filter((name) => name !== 'node-5');
  for (const viewer of others)
    assert.equal(readStates(system, viewer).get('node-5'), 'dead', viewer);
  assert.equal(countStates(system, others, 'alive'), 11 * 11);
});

test('a store that is out for two minutes changes nobody’s liveness', () => {
  const { system, conditions } = startMembers(12, 2);
  conditions.isStoreDown = true;
  for (let minute = 0; minute < 24; minute += 1) {
    system.run(5_000);
    assert.equal(countStates(system, system.names, 'alive'), 144);
  }
});

test('one direction of one link that is lost makes nobody dead', () => {
  const { system, conditions } = startMembers(8, 3);
  conditions.isCut = (from, to) => from === 'node-1' && to === 'node-2';
  for (let round = 0; round < 30; round += 1) {
    system.run(2_000);
    assert.equal(countStates(system, system.names, 'dead'), 0);
  }
});

test('a short pause is refuted, and a restart under the same address is a new incarnation', () => {
  const { system } = startMembers(8, 4);
  system.pause('node-3', 2_500);
  system.run(15_000);
  assert.equal(countStates(system, system.names, 'alive'), 64);
  system.kill('node-3');
  system.run(500);
  system.start('node-3');
  system.run(15_000);
  assert.equal(countStates(system, system.names, 'alive'), 64);
});

/** Cuts one availability zone off for half a minute, with the store out, and heals the cut. */
function cutAndHeal(decisions?: NodeDecisions): VirtualSystem {
  const { system, conditions } = startMembers(9, 5, decisions);
  const isFar = (name: string): boolean => (Number(name.slice('node-'.length)) - 1) % 3 === 0;
  conditions.isStoreDown = true;
  conditions.isCut = (from, to) => isFar(from) !== isFar(to);
  system.run(30_000);
  const near = system.names.filter((name) => !isFar(name));
  assert.equal(countStates(system, near, 'alive'), 36);
  conditions.isCut = () => false;
  system.run(60_000);
  return system;
}

test('an availability zone that was cut off is seen alive by all again after the cut heals', () => {
  const system = cutAndHeal();
  assert.equal(countStates(system, system.names, 'alive'), 81);
});

test('the same cut does not heal when records are taken as they come', () => {
  const system = cutAndHeal({ mergeMember: (present, incoming) => present ?? incoming });
  assert.notEqual(countStates(system, system.names, 'alive'), 81);
});

test('a node that leaves is left out of the address answers everywhere, and exits with 0', () => {
  const { system } = startMembers(6, 6);
  system.feed('node-2', { kind: 'leave' });
  system.run(3_000);
  for (const viewer of system.names)
    assert.equal(readStates(system, viewer).get('node-2'), 'leaving');
  system.feed('node-2', { kind: 'leave' });
  system.run(5_000);
  assert.equal(system.exits.get('node-2'), 0);
});
