/**
 * Membership of nodes. Guards against failed nodes that are not detected, and live nodes that are
 * marked dead, under kills, pauses, one-way packet loss, network partitions of an availability zone
 * and an unreachable store.
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
    isMessageLost: (from, to) => conditions.isCut(from, to),
    decideOutcome: () => (conditions.isStoreDown ? 'refused' : 'done'),
  });
  return { system, conditions };
}

function readStates(system: VirtualSystem, viewer: string): Map<string, string> {
  const request = `status-${viewer}-${system.queue.now().toString()}`;
  system.dispatch(viewer, {
    kind: 'operatorRequest',
    request,
    method: 'GET',
    path: '/v1/status',
    body: '',
  });
  const body = system.responses.get(request)?.body ?? '{"nodes":[]}';
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

test('every node marks a killed node dead within 12 seconds while the store is unreachable', () => {
  const { system, conditions } = startMembers(12, 1);
  conditions.isStoreDown = true;
  system.kill('node-5');
  system.run(12_000);
  const others = system.nodeNames.filter((name) => name !== 'node-5');
  for (const viewer of others)
    assert.equal(readStates(system, viewer).get('node-5'), 'dead', viewer);
  assert.equal(countStates(system, others, 'alive'), 11 * 11);
});

test('every node stays alive while the store is unreachable for two minutes', () => {
  const { system, conditions } = startMembers(12, 2);
  conditions.isStoreDown = true;
  for (let minute = 0; minute < 24; minute += 1) {
    system.run(5_000);
    assert.equal(countStates(system, system.nodeNames, 'alive'), 144);
  }
});

test('no node is marked dead when one direction of one link fails', () => {
  const { system, conditions } = startMembers(8, 3);
  conditions.isCut = (from, to) => from === 'node-1' && to === 'node-2';
  for (let round = 0; round < 30; round += 1) {
    system.run(2_000);
    assert.equal(countStates(system, system.nodeNames, 'dead'), 0);
  }
});

test('a node refutes a suspicion after a short pause, and rejoins after a restart under the same address', () => {
  const { system } = startMembers(8, 4);
  system.pause('node-3', 2_500);
  system.run(15_000);
  assert.equal(countStates(system, system.nodeNames, 'alive'), 64);
  system.kill('node-3');
  system.run(500);
  system.start('node-3');
  system.run(15_000);
  assert.equal(countStates(system, system.nodeNames, 'alive'), 64);
});

/**
 * Partitions one availability zone from the others for 30 s, with the store unreachable, then ends
 * the partition.
 */
function cutAndHeal(decisions?: NodeDecisions): VirtualSystem {
  const { system, conditions } = startMembers(9, 5, decisions);
  const isInCutZone = (name: string): boolean => (Number(name.slice('node-'.length)) - 1) % 3 === 0;
  conditions.isStoreDown = true;
  conditions.isCut = (from, to) => isInCutZone(from) !== isInCutZone(to);
  system.run(30_000);
  const connectedNodes = system.nodeNames.filter((name) => !isInCutZone(name));
  assert.equal(countStates(system, connectedNodes, 'alive'), 36);
  conditions.isCut = () => false;
  system.run(60_000);
  return system;
}

test('every node marks a partitioned availability zone alive again after the partition ends', () => {
  const system = cutAndHeal();
  assert.equal(countStates(system, system.nodeNames, 'alive'), 81);
});

test('the same partition leaves wrong states when incoming records never replace known ones', () => {
  const system = cutAndHeal({ mergeMember: (present, incoming) => present ?? incoming });
  assert.notEqual(countStates(system, system.nodeNames, 'alive'), 81);
});

test('every node marks a leaving node as leaving, and it exits with code 0', () => {
  const { system } = startMembers(6, 6);
  system.dispatch('node-2', { kind: 'leave' });
  system.run(3_000);
  for (const viewer of system.nodeNames)
    assert.equal(readStates(system, viewer).get('node-2'), 'leaving');
  system.dispatch('node-2', { kind: 'leave' });
  system.run(5_000);
  assert.equal(system.exits.get('node-2'), 0);
});
