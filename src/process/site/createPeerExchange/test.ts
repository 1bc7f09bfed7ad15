import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { peerReplySchema } from '../peerMessages/index.js';
import {
  CONFIGURATION,
  createPeerExchanges as createCase,
  ROUND,
} from '../../../../tests/support/peerExchanges/index.js';

test('reports the load that a node puts on an endpoint to the other nodes', async () => {
  const { run, findEndpoint } = createCase(['a', 'b', 'c']);
  Object.assign(findEndpoint('a'), { localRequests: 3, localTokenLayers: 1_280 });
  await run(5);
  assert.equal(findEndpoint('b').remoteRequests, 3);
  assert.equal(findEndpoint('c').remoteTokenLayers, 1_280);
  assert.equal(findEndpoint('a').remoteRequests, 0);
});

test('counts the zone peers until one of them has reported its load', async () => {
  const { exchanges, run } = createCase(['a', 'b', 'c']);
  const first = exchanges.get('a');
  assert.ok(first);
  for (const name of ['b', 'c']) {
    const [record] = exchanges.get(name)?.peers.listAlive() ?? [];
    first.peers.addStoredNode(record);
  }
  await first.step();
  assert.equal(first.countNodesWithoutLoad(), 2);
  await run(3);
  assert.equal(first.countNodesWithoutLoad(), 0);
  assert.ok(first.readLoadAge() <= ROUND);
});

test('announces a removed endpoint to the other nodes for a limited time', async () => {
  const { exchanges, deregistered, run } = createCase(['a', 'b', 'c']);
  await run(3);
  exchanges.get('a')?.recordDeregistration('i-1');
  await run(3);
  assert.deepEqual([...new Set(deregistered)].sort(), ['b: i-1', 'c: i-1']);
  await run(20);
  deregistered.length = 0;
  await run(3);
  assert.deepEqual(deregistered, []);
});

test('requests a newer configuration from a peer until all nodes have it', async () => {
  const { states, run } = createCase(['a', 'b', 'c', 'd', 'e']);
  await run(3);
  states.get('a')?.applyConfiguration(JSON.stringify(CONFIGURATION), 'store');
  await run(5);
  for (const state of states.values()) assert.equal(state.getVersion(), 7);
});

/**
 * Guards against a configuration of many routes that reaches no node in time: replies that share the link of the few
 * nodes that have it take longer than their timeout, and each is requested again.
 */
test('a large configuration reaches 30 nodes with slow links within 3 s', async () => {
  const names = Array.from({ length: 30 }, (_, index) => `n${index}`);
  const { states, run } = createCase(names, { linkMegabitsPerSecond: 14 });
  const routes = Array.from({ length: 1_600 }, (_, index) => ({
    name: `r-${createHash('md5').update(`${index}`).digest('base64url').slice(0, 7)}`,
    host: 'desk.example',
    prefix: `/${createHash('md5').update(`/${index}`).digest('hex').slice(0, 7)}/`,
    timeout_ms: 20_000,
    slo_ms: 501,
    priority: 1,
    service: 'assistant',
    services: [{ service: 'assistant', weight: 1 }],
    max_attempts: 2,
    public: false,
    resumable: true,
    itl_target_ms: 250,
    route_type: 'streaming',
  }));
  await run(20);
  const text = JSON.stringify({ ...CONFIGURATION, routes });
  for (const name of names.slice(0, 2)) states.get(name)?.applyConfiguration(text, 'store');
  await run(10);
  const missing = names.filter((name) => states.get(name)?.getVersion() !== 7);
  assert.deepEqual(missing, []);
});

test('a node of an earlier version gets a configuration that is not compressed', async () => {
  const { exchanges, states, run } = createCase(['a', 'b']);
  await run(3);
  const text = JSON.stringify(CONFIGURATION);
  states.get('a')?.applyConfiguration(text, 'store');
  const node = exchanges.get('b')?.peers.getSelf();
  const request = { node, version: 0, revision: 1, isReachable: true };
  const reply = peerReplySchema.parse(exchanges.get('a')?.handleRequest(request));
  assert.equal(reply.configuration, text);
  assert.equal(reply.compressedConfiguration, undefined);
});

test('a node without access to the store gets the registry from a node that reaches it', async () => {
  const { states, away, revisions, run } = createCase(['a', 'b']);
  await run(3);
  away.add('b');
  revisions.set('a', 9);
  states.get('a')?.applyEndpoint('i-2', 'any', 'store');
  states.get('a')?.applyEndpoint('i-1', undefined, 'store');
  await run(4);
  assert.deepEqual(
    states
      .get('b')
      ?.endpoints.list()
      .map(({ record }) => record.id),
    ['i-2'],
  );
});

test('forwards changes of the store to the nodes of the group', async () => {
  const { exchanges, forwarded, run } = createCase(['a', 'b', 'c']);
  await run(3);
  exchanges
    .get('a')
    ?.forwardChanges({ from: 'a', after: 1, revision: 4, items: [], isShortened: false });
  assert.deepEqual(forwarded, ['b: a up to 4', 'c: a up to 4']);
});

test('nodes that know each other send no requests', async () => {
  const { requests, run } = createCase(['a', 'b', 'c']);
  await run(10);
  requests.length = 0;
  await run(20);
  assert.deepEqual(requests, []);
});

test('ignores and counts an unreadable message, and rejects an invalid request', async () => {
  const { exchanges, run } = createCase(['a', 'b']);
  await run(3);
  const first = exchanges.get('a');
  assert.ok(first);
  first.receive(Buffer.from('no message'), 'b');
  assert.equal(first.countUnreadable(), 1);
  assert.equal(first.handleRequest({ node: 'none' }), undefined);
  assert.equal(first.peers.listAlive().length, 2);
});

test('announces an endpoint that reported its shutdown to the other nodes', async () => {
  const { run, findEndpoint } = createCase(['a', 'b', 'c']);
  await run(3);
  findEndpoint('a').leavingSince = 10_900;
  await run(4);
  assert.notEqual(findEndpoint('c').leavingSince, undefined);
});

const MANY = Array.from({ length: 40 }, (_, index) => `n${index}`);

test('a loss that one node reports is checked by a few nodes and by those that use the endpoint', async () => {
  const { checks, run, findEndpoint } = createCase(MANY);
  await run(6);
  findEndpoint('n7').localRequests = 2;
  Object.assign(findEndpoint('n0'), { lossFoundAt: 10_000 + 6 * ROUND, lostUntil: 60_000 });
  await run(9);
  assert.ok(checks.includes('n7 checks i-1'));
  assert.ok(checks.length >= 2 && checks.length <= 16, `${checks.length} checks`);
  assert.equal(findEndpoint('n20').lostUntil, Number.NEGATIVE_INFINITY);
});

/** Reports the loss of the endpoint by nodes that found it themselves. */
function findLost(findEndpoint: (name: string) => Endpoint, names: readonly string[]): void {
  for (const name of names)
    Object.assign(findEndpoint(name), { lossFoundAt: 10_000 + 6 * ROUND, lostUntil: 60_000 });
}

/** Guards against nodes that are cut off from endpoints and take these from all others by their reports. */
test('an endpoint that several nodes reported is checked by more nodes, and marked by none without a check', async () => {
  const { checks, run, findEndpoint } = createCase(MANY);
  await run(6);
  findLost(findEndpoint, ['n0', 'n1', 'n2']);
  await run(9);
  assert.ok(checks.length >= 4 && checks.length <= 32, `${checks.length} checks`);
  for (const name of MANY.slice(3))
    assert.equal(findEndpoint(name).lostUntil, Number.NEGATIVE_INFINITY, name);
});

test('what nodes report that are cut off from endpoints is not even checked', async () => {
  const { checks, run, findEndpoint, isolated } = createCase(MANY);
  await run(6);
  for (const name of ['n0', 'n1', 'n2']) isolated.add(name);
  findLost(findEndpoint, ['n0', 'n1', 'n2']);
  await run(9);
  assert.deepEqual(checks, []);
});

test('a node announces no loss while its own links are in doubt, and those that remain once they are not', async () => {
  const { checks, run, findEndpoint, suspects } = createCase(['a', 'b', 'c']);
  await run(6);
  suspects.add('a');
  findLost(findEndpoint, ['a']);
  await run(2);
  assert.deepEqual(checks, []);
  suspects.clear();
  await run(2);
  assert.deepEqual(checks.sort(), ['b checks i-1', 'c checks i-1']);
});

test('a connection of its own just now goes before the reports of other nodes', async () => {
  const names = ['a', 'b', 'c'];
  const { checks, run, findEndpoint, connectedAges } = createCase(names);
  await run(6);
  for (const name of names) connectedAges.set(name, 200);
  findLost(findEndpoint, ['a', 'b']);
  await run(4);
  assert.deepEqual(checks, []);
});

/** Guards against a node that ends because of what one message of another node holds. */
test('a message at which the node fails is dropped, and later ones are applied', async () => {
  const { run, states, exchanges, findEndpoint } = createCase(['a', 'b']);
  await run(3);
  const endpoints = states.get('a')?.endpoints;
  assert.ok(endpoints);
  const { find } = endpoints;
  Object.assign(endpoints, {
    find: () => {
      throw new Error('odd');
    },
  });
  findEndpoint('b').leavingSince = 10_900;
  await run(2);
  Object.assign(endpoints, { find });
  await run(2);
  assert.equal(exchanges.get('a')?.peers.countAlive(), 2);
  assert.ok(findEndpoint('a').leavingSince !== undefined);
});

/** Guards against a node that ends because of bytes that are nested without bound, or odd numbers. */
test('odd bytes from any sender are counted as unreadable', async () => {
  const { run, exchanges } = createCase(['a', 'b']);
  await run(3);
  const first = exchanges.get('a');
  assert.ok(first);
  const odd = [
    Buffer.alloc(65_000, 0x91),
    Buffer.alloc(65_000, 0x81),
    Buffer.concat([Buffer.alloc(60_000, 0x91), Buffer.from([1])]),
    Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff]),
    Buffer.from([0xdf, 0xff, 0xff, 0xff, 0xff]),
    Buffer.from([0xc6, 0xff, 0xff, 0xff, 0xff]),
    encode([1, 1, ...Array.from({ length: 14 }, () => 1e308)]),
    encode([1, 2, 1, -1, Number.NaN, false, []]),
    encode([1, 3, { reports: [], successes: [['a', Number.POSITIVE_INFINITY]], trials: [] }]),
  ];
  for (const bytes of odd) first.receive(bytes, 'b');
  assert.equal(first.countUnreadable(), odd.length);
  await run(2);
  assert.equal(first.peers.countAlive(), 2);
});
