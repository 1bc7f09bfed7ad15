/**
 * Guards against a log that drops the end of a request, its code and its cause, because many events came before it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRequestLog } from './index.js';

const MAXIMUM_LINES = 40;

test('the first events and the last one of a request are logged, however many there are', () => {
  const lines: string[] = [];
  const log = createRequestLog({
    logger: {
      logRequestEvents: (entries) => {
        lines.push(...entries.map(({ event }) => event));
      },
    },
    clock: { now: () => 0 },
    request: 'a',
  });
  log.add('first-event', { milliseconds: 120 });
  for (let index = 0; index < 50; index += 1) log.add('run-kept', { reason: 'r', path: 'p' });
  log.add('request-failed', {
    route: 'r',
    code: 'endpointFailed',
    reason: 'r',
    sends: 1,
    refused: 0,
    lastEvent: 0,
    milliseconds: 9,
  });
  log.end(true);
  assert.equal(lines[0], 'first-event');
  assert.equal(lines.at(-1), 'request-failed');
  assert.equal(lines.length, MAXIMUM_LINES);
});
