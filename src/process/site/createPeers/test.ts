import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { NodeRecord } from '../../../types/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import type { OwnNews } from '../peerNews/index.js';
import { createPeers, type Peers } from './index.js';

const ROUND = 300;

interface Cluster {
  readonly clock: { time: number };
  readonly nodes: Map<string, Peers>;
  /** One round of every node; `isCut` drops messages between two addresses. */
  readonly round: (isCut?: (from: string, to: string) => boolean) => void;
  readonly start: (name: string, incarnation: number) => void;
}

function createNews(changes: Partial<OwnNews> = {}): OwnNews {
  return {
    version: 0,
    revision: 0,
    isReachable: true,
    loads: [],
    lost: [],
    gone: [],
    leaving: [],
    layers: [],
    paces: [],
    ...changes,
  };
}

function createCluster(
  count: number,
  news: (name: string) => OwnNews = () => createNews(),
): Cluster {
  const clock = { time: 0 };
  const nodes = new Map<string, Peers>();
  const random = createRandom(3);
  const start = (name: string, incarnation: number): void => {
    const self: NodeRecord = {
      name,
      availabilityZone: `zone-${Number(name.slice(1)) % 3}`,
      callerAddress: `caller-${name}`,
      peerAddress: name,
      incarnation,
      isLeaving: false,
    };
    const peers = createPeers({
      self,
      now: () => clock.time,
      random,
      getNews: () => news(name),
      getConfiguration: () => 'text',
      getEntries: () => [['i-1', 'entry']],
      onNews: () => undefined,
      onChange: () => undefined,
    });
    // As from the store: each node is introduced to the others.
    for (const [other, known] of nodes) {
      if (other === name) continue;
      known.introduceValue(self);
      const [record] = known.listAlive();
      peers.introduceValue(record);
    }
    nodes.set(name, peers);
  };
  for (let index = 0; index < count; index += 1) start(`n${index}`, 1);
  return {
    clock,
    nodes,
    start,
    round: (isCut = () => false) => {
      clock.time += ROUND;
      for (const [name, peers] of nodes) {
        peers.sweep();
        for (const target of peers.pickTargets()) {
          const other = nodes.get(target);
          if (!other || isCut(name, target)) continue;
          // Messages travel as JSON.
          const answer = other.receive(JSON.parse(JSON.stringify(peers.createMessage())));
          peers.takeAnswer(JSON.parse(JSON.stringify(answer)));
        }
      }
    },
  };
}

function listAlive(cluster: Cluster, name: string): string[] {
  const peers = cluster.nodes.get(name);
  return (peers?.listAlive() ?? []).map((node) => node.name).sort();
}

test('78 nodes keep each other for alive over a minute, and none is lost by chance', () => {
  const cluster = createCluster(78);
  for (let round = 0; round < 200; round += 1) {
    cluster.round();
    if (round < 20) continue;
    for (const name of cluster.nodes.keys()) {
      assert.equal(listAlive(cluster, name).length, 78, `${name} in round ${round}`);
    }
  }
});

test('a node that dies is lost to all within four seconds, and back after its restart', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  cluster.nodes.delete('n4');
  for (let round = 0; round < 13; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.ok(!listAlive(cluster, name).includes('n4'));
  cluster.start('n4', 2);
  for (let round = 0; round < 8; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.ok(listAlive(cluster, name).includes('n4'));
});

test('two halves that were cut off find each other again', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  const isCut = (from: string, to: string): boolean => from < 'n3' !== to < 'n3';
  for (let round = 0; round < 20; round += 1) cluster.round(isCut);
  assert.deepEqual(listAlive(cluster, 'n0'), ['n0', 'n1', 'n2']);
  for (let round = 0; round < 40; round += 1) cluster.round();
  for (const name of cluster.nodes.keys()) assert.equal(listAlive(cluster, name).length, 6);
});

test('a leaving node is told of, and stays leaving until it starts again', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  cluster.nodes.get('n2')?.setLeaving();
  for (let round = 0; round < 8; round += 1) cluster.round();
  for (const [name, peers] of cluster.nodes) {
    const record = peers.listAlive().find((node) => node.name === 'n2');
    assert.equal(record?.isLeaving, true, name);
  }
});

test('a node with an older configuration is answered with the newer one', () => {
  const cluster = createCluster(2, (name) => createNews({ version: name === 'n0' ? 7 : 3 }));
  const [newer, older] = [...cluster.nodes.values()];
  assert.ok(newer && older);
  assert.equal(newer.receive(older.createMessage())?.configuration, 'text');
  assert.equal(older.receive(newer.createMessage())?.configuration, undefined);
});

test('a node that cannot reach the store is answered with the registry', () => {
  const cluster = createCluster(2, (name) =>
    createNews(name === 'n0' ? { revision: 9 } : { revision: 4, isReachable: false }),
  );
  const [near, cut] = [...cluster.nodes.values()];
  assert.ok(near && cut);
  assert.deepEqual(near.receive(cut.createMessage())?.entries, [['i-1', 'entry']]);
});

test('a message that cannot be read is refused and changes nothing', () => {
  const cluster = createCluster(1);
  const [peers] = [...cluster.nodes.values()];
  assert.equal(peers?.receive({ from: 'n9', beats: 'none' }), undefined);
  assert.equal(peers?.receive(undefined), undefined);
  assert.equal(peers?.listAlive().length, 1);
});

test('a node that is cut off still counts the others, whose parts of a budget it must not take', () => {
  const cluster = createCluster(6);
  for (let round = 0; round < 10; round += 1) cluster.round();
  const isCut = (from: string, to: string): boolean => from === 'n0' || to === 'n0';
  for (let round = 0; round < 20; round += 1) cluster.round(isCut);
  assert.deepEqual(listAlive(cluster, 'n0'), ['n0']);
  assert.equal(cluster.nodes.get('n0')?.countKnown(), 6);
});
