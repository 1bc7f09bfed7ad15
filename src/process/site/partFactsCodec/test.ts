import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePartFacts, encodePartFacts, partFactsSchema } from './index.js';

test('facts reach a node with another clock with their ages', () => {
  const facts = {
    reports: [
      {
        endpoint: 'i-1',
        startedAt: 1_700_000_000_000,
        address: '10.0.0.1:80',
        attempt: 'attempt-1',
        parts: ['head', 'own'],
        sentAt: 900,
        at: 950,
      },
    ],
    successes: [{ part: 'head', at: 400 }],
    trials: [{ part: 'own', at: 990 }],
  };
  const sent = partFactsSchema.parse(JSON.parse(JSON.stringify(encodePartFacts(facts, 1_000))));
  const received = decodePartFacts(sent, 61_000);
  assert.deepEqual(received.reports, [{ ...facts.reports[0], sentAt: 60_900, at: 60_950 }]);
  assert.deepEqual(received.successes, [{ part: 'head', at: 60_400 }]);
  assert.deepEqual(received.trials, [{ part: 'own', at: 60_990 }]);
});
