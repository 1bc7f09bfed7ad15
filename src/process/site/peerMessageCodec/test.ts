import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import { hashText } from '../../hashRendezvous/index.js';
import { createRandom } from '../../createRandom/index.js';
import type { PeerUpdate, StoreChanges } from '../peerMessages/index.js';
import { decodeMessage, encodeStoreChanges, encodeUpdate, tagEndpoint, tagNode } from './index.js';
import type { DecodeMessageOptions } from '../peerMessageFormat/index.js';

const NODES = Array.from({ length: 40 }, (_, index) => ({
  name: `edge-mission-${index}`,
  incarnation: 1_700_000_000_000 + index,
}));
const ENDPOINTS = Array.from({ length: 60 }, (_, index) => `i-${index}`);
const KNOWN: DecodeMessageOptions = {
  findNode: (tag) => NODES.find((node) => tagNode(node) === tag),
  findZone: (tag) => ['zone-1', 'zone-2'].find((zone) => hashText(zone) === tag),
  findEndpoint: (tag) => ENDPOINTS.find((id) => tagEndpoint(id) === tag),
};
const [SENDER = { name: '', incarnation: 0 }] = NODES;
const UPDATE: PeerUpdate = {
  from: SENDER.name,
  wantsReply: true,
  nodesKnown: 195,
  heartbeats: NODES.slice(0, 21).map(({ name, incarnation }, index) => [
    name,
    incarnation,
    40 + index,
  ]),
  lostNodes: NODES.slice(30, 31).map(({ name, incarnation }) => [name, incarnation, 7]),
  zones: [
    ['zone-1', 120],
    ['zone-2', 1_450],
  ],
  nodes: [],
  version: 1_234,
  revision: 98_765,
  isReachable: true,
  isIsolated: false,
  loads: ENDPOINTS.slice(0, 15).map((id, index) => [id, 1 + index, 256 * (100 + index)]),
  lost: ['i-3'],
  deregistered: ['i-4'],
  leaving: [['i-5', 1_700_000_000_123]],
  layers: [['i-6', 1_700_000_000_456, 2, 20, 31]],
  slowdowns: [['i-7', 1.85]],
};
const CHANGES: StoreChanges = {
  from: SENDER.name,
  after: 90,
  revision: 97,
  isShortened: false,
  items: [
    { key: 'servers/i-1', revision: 95, value: '{"state":"ready"}' },
    { key: 'servers/i-2', revision: 97, value: undefined },
  ],
};
const MAXIMUM_UPDATE_BYTES = 420;

test('decodes updates and store changes as they were encoded', () => {
  assert.deepEqual(decodeMessage(encodeUpdate(UPDATE), KNOWN), { kind: 'update', update: UPDATE });
  const short = { ...UPDATE, loads: undefined, wantsReply: false, isReachable: false };
  assert.deepEqual(decodeMessage(encodeUpdate(short), KNOWN), { kind: 'update', update: short });
  const bytes = encodeStoreChanges(CHANGES, SENDER.incarnation);
  assert.deepEqual(decodeMessage(bytes, KNOWN), { kind: 'changes', changes: CHANGES });
});

test('encodes a typical update of a large site in at most 420 bytes', () => {
  const bytes = encodeUpdate(UPDATE).length;
  assert.ok(bytes <= MAXIMUM_UPDATE_BYTES, `${bytes} bytes`);
});

test('rounds memory up, so that a load is never reported as less than it is', () => {
  const message = decodeMessage(encodeUpdate({ ...UPDATE, loads: [['i-1', 1, 257]] }), KNOWN);
  assert.ok(message.kind === 'update');
  assert.deepEqual(message.update.loads, [['i-1', 1, 512]]);
});

test('omits unknown nodes, endpoints and zones, and reports an unknown sender', () => {
  const unknown: PeerUpdate = {
    ...UPDATE,
    heartbeats: [...UPDATE.heartbeats, ['stranger', 1, 5]],
    loads: [['i-stranger', 1, 256]],
    lost: ['i-stranger'],
    zones: [...UPDATE.zones, ['zone-9', 1]],
  };
  const message = decodeMessage(encodeUpdate(unknown), KNOWN);
  assert.ok(message.kind === 'update');
  assert.deepEqual(message.update.heartbeats, UPDATE.heartbeats);
  assert.deepEqual(message.update.loads, []);
  assert.deepEqual(message.update.lost, []);
  assert.deepEqual(message.update.zones, UPDATE.zones);
  const noNodes = { ...KNOWN, findNode: () => undefined };
  assert.equal(decodeMessage(encodeUpdate(UPDATE), noNodes).kind, 'unknownSender');
  const bytes = encodeStoreChanges(CHANGES, SENDER.incarnation);
  assert.equal(decodeMessage(bytes, noNodes).kind, 'unknownSender');
});

test('reports a message of another version or an unknown kind as unreadable', () => {
  for (const value of [[2, 1], [1, 9], 'text', null, 7, {}, [1, 1, -1]]) {
    assert.equal(decodeMessage(encode(value), KNOWN).kind, 'unreadable');
  }
  assert.equal(decodeMessage(Buffer.alloc(70_000), KNOWN).kind, 'unreadable');
});

test('does not throw on truncated, changed or random bytes', () => {
  const random = createRandom(11);
  const bytes = [encodeUpdate(UPDATE), encodeStoreChanges(CHANGES, SENDER.incarnation)];
  for (const complete of bytes) {
    for (let length = 0; length < complete.length; length += 1) {
      assert.equal(decodeMessage(complete.subarray(0, length), KNOWN).kind, 'unreadable');
    }
    for (let round = 0; round < 3_000; round += 1) {
      const changed = Uint8Array.from(complete);
      changed[Math.floor(random() * changed.length)] = Math.floor(random() * 256);
      decodeMessage(changed, KNOWN);
    }
  }
  for (let round = 0; round < 3_000; round += 1) {
    const noise = Uint8Array.from({ length: Math.floor(random() * 200) }, () => random() * 256);
    decodeMessage(noise, KNOWN);
  }
});
