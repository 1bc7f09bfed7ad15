import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import { hashText } from '../../hashRendezvous/index.js';
import { createRandom } from '../../createRandom/index.js';
import type { PeerNews, StoreChanges } from '../peerNews/index.js';
import {
  decodeMessage,
  encodeChanges,
  encodeNews,
  tagEndpoint,
  tagNode,
  type DecodeMessageOptions,
} from './index.js';

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
const NEWS: PeerNews = {
  from: SENDER.name,
  wantsAnswer: true,
  nodesKnown: 195,
  beats: NODES.slice(0, 21).map(({ name, incarnation }, index) => [name, incarnation, 40 + index]),
  lostNodes: NODES.slice(30, 31).map(({ name, incarnation }) => [name, incarnation, 7]),
  zones: [
    ['zone-1', 120],
    ['zone-2', 1_450],
  ],
  nodes: [],
  version: 1_234,
  revision: 98_765,
  isReachable: true,
  loads: ENDPOINTS.slice(0, 15).map((id, index) => [id, 1 + index, 256 * (100 + index)]),
  lost: ['i-3'],
  gone: ['i-4'],
  leaving: [['i-5', 1_700_000_000_123]],
  layers: [['i-6', 1_700_000_000_456, 2, 20, 31]],
  paces: [['i-7', 1.85]],
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
const MOST_NEWS_BYTES = 420;

test('news and changes arrive as they were sent', () => {
  assert.deepEqual(decodeMessage(encodeNews(NEWS), KNOWN), { kind: 'news', news: NEWS });
  const short = { ...NEWS, loads: undefined, wantsAnswer: false, isReachable: false };
  assert.deepEqual(decodeMessage(encodeNews(short), KNOWN), { kind: 'news', news: short });
  const bytes = encodeChanges(CHANGES, SENDER.incarnation);
  assert.deepEqual(decodeMessage(bytes, KNOWN), { kind: 'changes', changes: CHANGES });
});

test('a usual message of a large site is short', () => {
  const bytes = encodeNews(NEWS).length;
  assert.ok(bytes <= MOST_NEWS_BYTES, `${bytes} bytes`);
});

test('memory is rounded up, so that a load is never told as less than it is', () => {
  const message = decodeMessage(encodeNews({ ...NEWS, loads: [['i-1', 1, 257]] }), KNOWN);
  assert.ok(message.kind === 'news');
  assert.deepEqual(message.news.loads, [['i-1', 1, 512]]);
});

test('nodes and endpoints that are not known are left out, and an unknown sender is told apart', () => {
  const strangers: PeerNews = {
    ...NEWS,
    beats: [...NEWS.beats, ['stranger', 1, 5]],
    loads: [['i-stranger', 1, 256]],
    lost: ['i-stranger'],
    zones: [...NEWS.zones, ['zone-9', 1]],
  };
  const message = decodeMessage(encodeNews(strangers), KNOWN);
  assert.ok(message.kind === 'news');
  assert.deepEqual(message.news.beats, NEWS.beats);
  assert.deepEqual(message.news.loads, []);
  assert.deepEqual(message.news.lost, []);
  assert.deepEqual(message.news.zones, NEWS.zones);
  const nobody = { ...KNOWN, findNode: () => undefined };
  assert.equal(decodeMessage(encodeNews(NEWS), nobody).kind, 'unknownSender');
  const bytes = encodeChanges(CHANGES, SENDER.incarnation);
  assert.equal(decodeMessage(bytes, nobody).kind, 'unknownSender');
});

test('a message of another version, or of no kind, is unreadable', () => {
  for (const value of [[2, 1], [1, 9], 'text', null, 7, {}, [1, 1, -1]]) {
    assert.equal(decodeMessage(encode(value), KNOWN).kind, 'unreadable');
  }
  assert.equal(decodeMessage(Buffer.alloc(70_000), KNOWN).kind, 'unreadable');
});

test('cut, changed and random bytes never throw', () => {
  const random = createRandom(11);
  const bytes = [encodeNews(NEWS), encodeChanges(CHANGES, SENDER.incarnation)];
  for (const whole of bytes) {
    for (let length = 0; length < whole.length; length += 1) {
      assert.equal(decodeMessage(whole.subarray(0, length), KNOWN).kind, 'unreadable');
    }
    for (let round = 0; round < 3_000; round += 1) {
      const changed = Uint8Array.from(whole);
      changed[Math.floor(random() * changed.length)] = Math.floor(random() * 256);
      decodeMessage(changed, KNOWN);
    }
  }
  for (let round = 0; round < 3_000; round += 1) {
    const noise = Uint8Array.from({ length: Math.floor(random() * 200) }, () => random() * 256);
    decodeMessage(noise, KNOWN);
  }
});
