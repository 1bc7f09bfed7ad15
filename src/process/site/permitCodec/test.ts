import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodePermitReply,
  decodePermitRequest,
  decodeRateLimits,
  encodePermitReply,
  encodePermitRequest,
  encodeRateLimits,
} from './index.js';

const NOW = 5_000;
/** The receiving node's clock. */
const LATER = 900_000;
const tagEndpoint = (id: string): number => Number(id.slice(2));
const findEndpoint = (tag: number): string | undefined => (tag < 8 ? `i-${tag}` : undefined);

test('facts reach a node with another clock with their ages', () => {
  const facts = [
    { endpoint: 'i-1', startedAt: 1_776_460_941_086, requestsPerSecond: 1.1, heardAt: NOW - 40 },
    { endpoint: 'i-2', startedAt: 7, requestsPerSecond: undefined, heardAt: NOW },
    { endpoint: 'i-3', startedAt: 0, requestsPerSecond: 0, heardAt: NOW },
  ];
  const decoded = decodeRateLimits(encodeRateLimits(facts, NOW, tagEndpoint), LATER, findEndpoint);
  assert.deepEqual(
    decoded,
    facts.map((fact) => ({ ...fact, heardAt: fact.heardAt - NOW + LATER })),
  );
});

test('facts about endpoints that the node does not know are omitted, and so is an incomplete one', () => {
  const facts = ['i-9', 'i-1'].map((endpoint) => ({
    endpoint,
    startedAt: 1,
    requestsPerSecond: 2,
    heardAt: NOW,
  }));
  const numbers = encodeRateLimits(facts, NOW, tagEndpoint);
  const decoded = decodeRateLimits([...numbers, 1, 2], LATER, findEndpoint);
  assert.deepEqual(
    decoded.map(({ endpoint }) => endpoint),
    ['i-1'],
  );
});

test('a request for a permit and its reply are decoded as they were encoded', () => {
  const fact = { endpoint: 'i-1', startedAt: 3, requestsPerSecond: 0.25, heardAt: NOW - 10 };
  const request = { id: 12, maximumWaitMilliseconds: 480, fact };
  const numbers = encodePermitRequest(request, NOW, tagEndpoint);
  assert.deepEqual(decodePermitRequest(numbers, LATER, findEndpoint), {
    ...request,
    fact: { ...fact, heardAt: LATER - 10 },
  });
  const reply = { id: 12, isGranted: true, waitMilliseconds: 250 };
  assert.deepEqual(decodePermitReply(encodePermitReply(reply)), reply);
});

test('a request for a permit without a limit or with missing numbers is none', () => {
  for (const numbers of [[], [1, 2], [1, 2, 1, 3, 0, 0], [1, 2, 9, 3, 1_001, 0]])
    assert.equal(decodePermitRequest(numbers, LATER, findEndpoint), undefined);
});
