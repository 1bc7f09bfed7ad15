/**
 * Guards against truncated bodies that count as complete, and against liveness checks that outlive a stopping node.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEndpointRecord } from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { LivenessCheck, LivenessResult } from '../../../types/relay/index.js';
import { createStopSignal } from '../createStopSignal/index.js';
import { proveBufferedEnd } from './index.js';

const SENT_TO = createEndpointRecord({ id: 'i-1', startedAt: 100 });
const SERVICE = { name: 'booking', healthPath: '/healthz', maximumConnections: 8 };

function createFixture(confirm: LivenessCheck['confirm']) {
  const endpoints = createEndpointTable();
  endpoints.update('i-1', SENT_TO, 0);
  const stopSignal = createStopSignal((error) => {
    throw error;
  });
  let closes = 0;
  const livenessCheck: LivenessCheck = {
    recordResponseEnd: () => undefined,
    confirm,
    close: () => {
      closes += 1;
    },
  };
  const prove = (chosen: LivenessCheck | undefined = livenessCheck): Promise<LivenessResult> =>
    proveBufferedEnd(
      { endpoints, stopSignal },
      { service: SERVICE },
      { livenessCheck: chosen, sentTo: SENT_TO, timeoutMilliseconds: 100 },
    );
  return { endpoints, stopSignal, prove, countCloses: () => closes };
}

test('the finding of the livenessCheck counts, also after the entry was removed', async () => {
  const { endpoints, prove } = createFixture((query) => {
    assert.deepEqual(query, {
      endpoint: 'i-1',
      address: SENT_TO.address,
      healthPath: '/healthz',
      timeoutMilliseconds: 100,
    });
    return Promise.resolve('alive');
  });
  assert.equal(await prove(), 'alive');
  endpoints.update('i-1', undefined, 1);
  assert.equal(await prove(), 'alive');
});

test('an endpoint that is known to have restarted has ended', async () => {
  const { endpoints, prove } = createFixture(() => {
    endpoints.update('i-1', { ...SENT_TO, startedAt: 200 }, 1);
    return Promise.resolve('alive');
  });
  assert.equal(await prove(), 'ended');
});

test('a stopping node closes the livenessCheck', async () => {
  const { stopSignal, prove, countCloses } = createFixture(() => {
    stopSignal.raise();
    return Promise.resolve('unknown');
  });
  assert.deepEqual([await prove(), countCloses()], ['unknown', 1]);
});
