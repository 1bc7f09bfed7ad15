import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRequest } from './index.js';

function createLine(node: string, second: number, message: string, fields: object): string {
  const timestamp = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return JSON.stringify({ timestamp, node, level: 'info', message, ...fields });
}

const LOGS = [
  createLine('node-2', 7, 'endpoint-lost', { endpoint: 'i-2', reason: 'no report' }),
  createLine('node-1', 9, 'request-failed', {
    request: 'a',
    reason: 'no path with enough free memory',
  }),
  createLine('node-1', 8, 'run-broken', { request: 'a', path: 'i-1=0-40 i-2=40-80' }),
  createLine('node-1', 8, 'run-broken', { request: 'b', path: 'i-3=0-80' }),
  createLine('node-2', 1, 'endpoint-ready', { endpoint: 'i-2' }),
  createLine('node-2', 8, 'endpoint-lost', { endpoint: 'i-9' }),
  'not a log line',
];

test('lists the events of a request on two nodes and of the endpoints on its path', () => {
  const events = explainRequest(LOGS, 'a');
  assert.deepEqual(
    events.map(({ node, event, isOwn }) => [node, event, isOwn]),
    [
      ['node-2', 'endpoint-lost', false],
      ['node-1', 'run-broken', true],
      ['node-1', 'request-failed', true],
    ],
  );
  assert.equal(events[2]?.details, 'request=a reason=no path with enough free memory');
});

test('returns no events for a request that no line names', () => {
  assert.deepEqual(explainRequest(LOGS, 'c'), []);
});

test('leads from a blocked request to its part and to the crashes for which that is blocked', () => {
  const logs = [
    createLine('node-1', 2, 'endpoint-crashed', { endpoint: 'i-4', attempts: 'x', parts: 'p q' }),
    createLine('node-2', 3, 'endpoint-crashed', { endpoint: 'i-5', attempts: 'y', parts: 'p r' }),
    createLine('node-2', 3, 'endpoint-crashed', { endpoint: 'i-6', attempts: 'z', parts: 's' }),
    createLine('node-2', 3, 'part-blocked', { part: 'p', endpoints: 'i-4 i-5', causes: 'x y' }),
    createLine('node-2', 3, 'part-blocked', { part: 's', endpoints: 'i-6', causes: 'z' }),
    createLine('node-1', 60, 'request-blocked', { request: 'a', part: 'p', endpoints: 'i-4 i-5' }),
  ];
  assert.deepEqual(
    explainRequest(logs, 'a').map(({ node, event }) => [node, event]),
    [
      ['node-1', 'endpoint-crashed'],
      ['node-2', 'endpoint-crashed'],
      ['node-2', 'part-blocked'],
      ['node-1', 'request-blocked'],
    ],
  );
});
