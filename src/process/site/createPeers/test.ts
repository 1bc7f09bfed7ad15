import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { NodeRecord } from '../../../types/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import type { LocalState } from '../peerMessages/index.js';
import { createPeers, type Peers } from './index.js';

const ROUND = 300;
const EMPTY_STATE: LocalState = {
  version: 0,
  revision: 0,
  isReachable: true,
  isIsolated: false,
  loads: [],
  lost: [],
  deregistered: [],
  leaving: [],
  layers: [],
  slowdowns: [],
};

type LinkFilter = (from: string, to: string) => boolean;

interface Cluster {
  readonly clock: { time: number };
  readonly nodes: Map<string, Peers>;
  /** Runs one round of every node; `isCut` drops messages between two addresses. */
  readonly round: (isCut?: LinkFilter) => void;
  readonly start: (name: string, incarnation: number) => void;
  /** Reported changes: observing node, event, and the node that changed. */
  readonly changes: string[];
}

/** Creates nodes in `zones` availability zones; a share of the messages between them is lost. */
function createCluster(count: number, zones = 3, lossShare = 0): Cluster {
  const clock = { time: 0 };
  const nodes = new Map<string, Peers>();
  const changes: string[] = [];
  const random = createRandom(3);
  const start = (name: string, incarnation: number): void => {
    const self: NodeRecord = {
      name,
      availabilityZone: `zone-${Number(name.slice(1)) % zones}`,
      callerAddress: `caller-${name}`,
      peerAddress: name,
      incarnation,
      isLeaving: false,
    };
    const peers = createPeers({
      self,
      now: () => clock.time,
      random,
      onChange: (event, node) => changes.push(`${name} ${event} ${node.name}`),
    });
    // Each node is added at the others, as if read from the store.
    for (const [other, known] of nodes) {
      if (other === name) continue;
      known.addStoredNode(self);
      const [record] = known.listAlive();
      peers.addStoredNode(record);
    }
    nodes.set(name, peers);
  };
  for (let index = 0; index < count; index += 1) start(`n${index}`, 1);
  const send = (
    from: Peers,
    to: Peers | undefined,
    wantsAnswer: boolean,
    isLost: boolean,
  ): void => {
    const message = from.createMessage(EMPTY_STATE, wantsAnswer);
    if (to && !isLost) to.applyUpdate(message);
  };
  return {
    clock,
    nodes,
    start,
    changes,
    round: (isCut = () => false) => {
      clock.time += ROUND;
      for (const [name, peers] of nodes) {
        peers.sweep();
        for (const target of peers.pickTargets()) {
          const other = nodes.get(target);
          const isLost = isCut(name, target) || random() < lossShare;
          send(peers, other, true, isLost);
          if (other && !isLost) send(other, peers, false, isCut(target, name));
        }
      }
    },
  };
}

function listAlive(cluster: Cluster, name: string): string[] {
  const peers = cluster.nodes.get(name);
  return (peers?.listAlive() ?? []).map((node) => node.name).sort();
}

for (const [count, zones, lossShare] of [
  [78, 3, 0],
  [195, 5, 0],
  [195, 5, 0.1],
] as const) {
  test(`${count} nodes keep each other marked as alive for a minute with a message loss of ${lossShare}`, () => {
    const cluster = createCluster(count, zones, lossShare);
    for (let round = 0; round < 200; round += 1) {
      cluster.round();
      if (round < 20) continue;
      for (const name of cluster.nodes.keys()) {
        assert.equal(listAlive(cluster, name).length, count, `${name} in round ${round}`);
      }
    }
  });
}

/** Returns the milliseconds after which a share of the nodes counts a failed node as lost. */
function measureLoss(cluster: Cluster, failedNode: string, share: number): number {
  const failedAt = cluster.clock.time;
  cluster.nodes.delete(failedNode);
  for (let round = 0; round < 100; round += 1) {
    cluster.round();
    const informed = [...cluster.nodes.keys()].filter(
      (name) => !listAlive(cluster, name).includes(failedNode),
    );
    if (informed.length >= share * cluster.nodes.size) return cluster.clock.time - failedAt;
  }
  return Number.POSITIVE_INFINITY;
}

test('99 % of the nodes of a large site count a failed node as lost within three seconds', () => {
  for (const failedNode of ['n7', 'n11', 'n100', 'n194']) {
    const cluster = createCluster(195, 5);
    for (let round = 0; round < 20; round += 1) cluster.round();
    const time = measureLoss(cluster, failedNode, 0.99);
    assert.ok(time <= 3_000, `${failedNode}: ${time} ms`);
  }
});

test('the other zones count all nodes of a zone that stops responding as lost within five seconds', () => {
  const cluster = createCluster(100, 5);
  for (let round = 0; round < 20; round += 1) cluster.round();
  for (const name of [...cluster.nodes.keys()]) {
    if (Number(name.slice(1)) % 5 === 2) cluster.nodes.delete(name);
  }
  for (let round = 0; round < 17; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.equal(listAlive(cluster, name).length, 80, name);
});

test('a node that was cut off does not make others count live nodes as lost', () => {
  const cluster = createCluster(100, 5);
  for (let round = 0; round < 20; round += 1) cluster.round();
  const isCut: LinkFilter = (from, to) => from === 'n0' || to === 'n0';
  for (let round = 0; round < 30; round += 1) cluster.round(isCut);
  cluster.changes.length = 0;
  for (let round = 0; round < 20; round += 1) cluster.round();
  const others = cluster.changes.filter(
    (line) => line.includes('node-lost') && !line.startsWith('n0 ') && !line.endsWith(' n0'),
  );
  assert.deepEqual(others, []);
});

test('ignores a message that arrives after a newer one of its sender', () => {
  const cluster = createCluster(2);
  const [first, second] = [...cluster.nodes.values()];
  assert.ok(first && second);
  first.pickTargets();
  const older = first.createMessage(EMPTY_STATE, true);
  first.pickTargets();
  assert.equal(second.applyUpdate(first.createMessage(EMPTY_STATE, true)), true);
  assert.equal(second.applyUpdate(older), false);
});

test('does not list nodes without access to the store, leaving nodes or nodes of remote zones as reaching the store', () => {
  const cluster = createCluster(20, 2);
  for (let round = 0; round < 10; round += 1) cluster.round();
  const [first] = [...cluster.nodes.values()];
  const second = cluster.nodes.get('n2');
  assert.ok(first && second);
  assert.equal(first.listReachingStore().length, 9);
  first.applyUpdate(second.createMessage({ ...EMPTY_STATE, isReachable: false }, false));
  cluster.nodes.get('n4')?.setLeaving();
  for (let round = 0; round < 8; round += 1) cluster.round();
  first.applyUpdate(second.createMessage({ ...EMPTY_STATE, isReachable: false }, false));
  assert.deepEqual(
    first
      .listReachingStore()
      .map(({ name }) => name)
      .sort(),
    ['n10', 'n12', 'n14', 'n16', 'n18', 'n6', 'n8'],
  );
});

test('all nodes count a failed node as lost within four seconds, and as live after its restart', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  cluster.nodes.delete('n4');
  for (let round = 0; round < 13; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.ok(!listAlive(cluster, name).includes('n4'));
  cluster.start('n4', 2);
  for (let round = 0; round < 8; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.ok(listAlive(cluster, name).includes('n4'));
});

test('two partitions discover each other after the partition ends', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  const isCut = (from: string, to: string): boolean => from < 'n3' !== to < 'n3';
  for (let round = 0; round < 20; round += 1) cluster.round(isCut);
  assert.deepEqual(listAlive(cluster, 'n0'), ['n0', 'n1', 'n2']);
  for (let round = 0; round < 40; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.equal(listAlive(cluster, name).length, 6);
});

test('all nodes learn that a node is leaving', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  cluster.nodes.get('n2')?.setLeaving();
  for (let round = 0; round < 8; round += 1) cluster.round();
  for (const [name, peers] of cluster.nodes) {
    const record = peers.listAlive().find((node) => node.name === 'n2');
    assert.equal(record?.isLeaving, true, name);
  }
});

test('a node that is cut off still counts the other nodes, whose shares of the retry budget it must not use', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  const isCut = (from: string, to: string): boolean => from === 'n0' || to === 'n0';
  for (let round = 0; round < 20; round += 1) cluster.round(isCut);
  assert.deepEqual(listAlive(cluster, 'n0'), ['n0']);
  assert.equal(cluster.nodes.get('n0')?.countKnown(), 6);
});
