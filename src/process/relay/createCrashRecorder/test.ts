/**
 * Guards against a crash of an endpoint that no log line names, and against connections that were
 * reset alone and are taken for a crash.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVirtualTime } from '../../../../emulator/createVirtualTime/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import {
  createEndpointRecord,
  NOOP_LOGGER,
  SOUND_LINKS,
} from '../../../../tests/support/site/index.js';
import { createCrashRecorder, type BrokenRun } from './index.js';

const RUN: BrokenRun = {
  endpoint: 'i-1',
  startedAt: 100,
  attempt: 'attempt-1',
  parts: ['head', 'middle', 'own-1'],
  sentAt: 0,
  events: 0,
  reason: 'aborted',
  check: 'report',
};

function createFixture(isResponding: () => boolean, isIsolated = false) {
  const endpoints = createEndpointTable();
  endpoints.update('i-1', createEndpointRecord({ id: 'i-1', startedAt: 100 }), 0);
  const clock = createVirtualTime();
  const lines: Record<string, unknown>[] = [];
  const recorder = createCrashRecorder({
    endpoints,
    prober: { probe: () => Promise.resolve(isResponding()) },
    endpointPort: { isListening: () => Promise.resolve(isResponding()) },
    links: { ...SOUND_LINKS, confirmIsolated: () => Promise.resolve(isIsolated) },
    clock,
    logger: {
      ...NOOP_LOGGER,
      log: (event, fields) => lines.push({ event, ...fields }),
    },
    metrics: { count: () => undefined },
  });
  return { endpoints, clock, lines, recorder };
}

test('one line names a crash with the runs that had no event and their parts', async () => {
  const { clock, lines, recorder } = createFixture(() => false);
  const { sentAt, attempt, parts } = RUN;
  const report = await recorder.recordBrokenRun(RUN);
  const crash = { endpoint: 'i-1', startedAt: 100, address: '127.0.0.1:1' };
  const expected = { ...crash, attempt, parts, sentAt, at: 0 };
  assert.deepEqual(report, { hasCrashed: true, report: expected });
  await recorder.recordBrokenRun({ ...RUN, attempt: 'attempt-2', parts: ['head', 'own-2'] });
  const established = { ...RUN, attempt: 'attempt-3', parts: ['other'], events: 4 };
  assert.deepEqual(await recorder.recordBrokenRun(established), { hasCrashed: true });
  await clock.run(50);
  assert.equal(lines.length, 1);
  assert.deepEqual(lines[0], {
    event: 'endpoint-crashed',
    endpoint: 'i-1',
    bornAt: 100,
    reason: 'aborted',
    begun: 1,
    unbegun: 2,
    attempts: 'attempt-1 attempt-2',
    parts: 'head middle own-1 own-2',
  });
});

test('a reset of one connection and the end of a leaving endpoint are no crash', async () => {
  const alive = createFixture(() => true);
  assert.deepEqual(await alive.recorder.recordBrokenRun(RUN), { hasCrashed: false });
  const leaving = createFixture(() => false);
  const record = createEndpointRecord({ id: 'i-1', startedAt: 100, isDraining: true });
  leaving.endpoints.update('i-1', record, 0);
  assert.deepEqual(await leaving.recorder.recordBrokenRun(RUN), { hasCrashed: false });
  const gone = createFixture(() => false);
  gone.endpoints.update('i-1', undefined, 0);
  assert.deepEqual(await gone.recorder.recordBrokenRun(RUN), { hasCrashed: false });
});

/** Guards against a node that is cut off and gets requests blocked on all nodes by the crashes that it reports. */
test('a node that is cut off itself reports no crash, and takes no response for complete', async () => {
  const { clock, lines, recorder } = createFixture(() => false, true);
  assert.deepEqual(await recorder.recordBrokenRun(RUN), { hasCrashed: true });
  await clock.run(50);
  assert.deepEqual(lines, []);
});

test('an endpoint that is back under its identifier with a later start has crashed', async () => {
  const { endpoints, recorder } = createFixture(() => {
    const endpoint = endpoints.find('i-1');
    if (endpoint) endpoints.recordRestart(endpoint, 200);
    return true;
  });
  assert.equal((await recorder.recordBrokenRun(RUN)).report?.startedAt, 100);
});

test('an endpoint without reports has crashed when it accepts no connection', async () => {
  const run: BrokenRun = { ...RUN, check: 'connection' };
  const ended = await createFixture(() => false).recorder.recordBrokenRun(run);
  const alive = await createFixture(() => true).recorder.recordBrokenRun(run);
  assert.deepEqual([ended.hasCrashed, alive.hasCrashed], [true, false]);
});
