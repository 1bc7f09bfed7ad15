/**
 * Guards against messages of other senders that a node takes for demand, and against demand that changes on its way.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { encode } from '@msgpack/msgpack';
import fc from 'fast-check';
import type { ServiceDemand } from '../../../types/admission/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { decodeMessage, encodeNumbersMessage } from '../peerMessageCodec/index.js';
import { DEMAND_KIND } from '../peerMessageFormat/index.js';
import { decodeDemands, encodeDemands, MAXIMUM_DEMAND_PRIORITIES } from './index.js';

const LOOKUPS = {
  findNode: () => undefined,
  findEndpoint: () => undefined,
  findZone: () => undefined,
};

const PLAIN_OBJECTS = { noNullPrototype: true } as const;

const demands = fc.record<ServiceDemand>(
  {
    stayMilliseconds: fc.integer({ min: 0, max: 60_000 }),
    priorities: fc.array(
      fc.record(
        {
          priority: fc.integer({ min: 0, max: 9 }),
          requestsPerSecond: fc.integer({ min: 0, max: 100_000 }).map((rate) => rate / 100),
          tokenLayersPerSecond: fc.integer({ min: 0, max: 1_000_000 }).map((rate) => rate * 1_024),
          heldRequests: fc.integer({ min: 0, max: 10_000 }),
          heldTokenLayers: fc.integer({ min: 0, max: 1_000_000 }).map((held) => held * 1_024),
        },
        PLAIN_OBJECTS,
      ),
      { maxLength: 6 },
    ),
  },
  PLAIN_OBJECTS,
);

test('demand arrives in a message as it was sent', () => {
  fc.assert(
    fc.property(demands, demands, (first, second) => {
      const sent = new Map([
        ['assistant', first],
        ['search', second],
      ]);
      const message = decodeMessage(
        encodeNumbersMessage(DEMAND_KIND, encodeDemands(7, sent)),
        LOOKUPS,
      );
      assert.ok(message.kind === 'demand');
      const report = decodeDemands(message.numbers);
      assert.ok(report?.sender === 7);
      assert.deepEqual(report.demands.get(hashText('assistant')), first);
      assert.deepEqual(report.demands.get(hashText('search')), second);
    }),
    { seed: 46, numRuns: 200 },
  );
});

test('any numbers are decoded to a bounded report or to none', () => {
  const number = fc.oneof(fc.integer({ min: 0, max: 6 }), fc.nat());
  fc.assert(
    fc.property(fc.array(number, { maxLength: 400 }), (numbers) => {
      const report = decodeDemands(numbers);
      const priorities = [...(report?.demands.values() ?? [])].flatMap((demand) => [
        ...demand.priorities,
      ]);
      assert.ok(priorities.length <= MAXIMUM_DEMAND_PRIORITIES);
      for (const entry of priorities)
        assert.ok(Object.values(entry).every((value) => Number.isFinite(value) && value >= 0));
    }),
    { seed: 47, numRuns: 1_000 },
  );
  assert.equal(decodeDemands([]), undefined);
  assert.equal(decodeDemands([7, 1, 100, 2, 1, 1, 1, 1, 1]), undefined);
  assert.equal(decodeDemands([7, ...new Array<number>(60_000).fill(0)]), undefined);
});

test('a message that does not consist of numbers is unreadable', () => {
  for (const content of [['a'], [-1], [1.5], 'text', null])
    assert.equal(decodeMessage(encode([1, DEMAND_KIND, content]), LOOKUPS).kind, 'unreadable');
});
