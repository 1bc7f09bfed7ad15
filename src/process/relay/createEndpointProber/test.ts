import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createEndpointRecord,
  NO_RATE_LIMITS,
  NOOP_LOGGER,
  SOUND_LINKS,
} from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointReport } from '../../../types/site/index.js';
import { createEndpointProber } from './index.js';

const REPORT: EndpointReport = {
  acceptedOrders: 1,
  isBusy: false,
  layers: { from: 0, to: 8 },
  slowdown: 1,
  usedTokenLayers: 0,
  totalTokenLayers: 100,
  startedAt: 1,
  stalledAddresses: [],
  isLeaving: false,
};

/** Creates a prober over endpoints `i-0`, `i-1`, ... whose reports are given by address. */
function createCase(reports: Readonly<Record<string, EndpointReport | undefined>>, count = 4) {
  const endpoints = createEndpointTable();
  for (let index = 0; index < count; index += 1) {
    const id = `i-${index}`;
    endpoints.update(id, createEndpointRecord({ id, address: id, layers: { from: 0, to: 8 } }), 0);
  }
  const lost: string[] = [];
  const probed: string[] = [];
  let time = 10_000;
  const prober = createEndpointProber({
    endpoints,
    endpointPort: {
      fetchReport: (address) => {
        probed.push(address);
        return Promise.resolve(reports[address]);
      },
    },
    links: SOUND_LINKS,
    rateLimits: NO_RATE_LIMITS,
    logger: NOOP_LOGGER,
    now: () => time,
    onLost: (endpoint) => lost.push(endpoint),
  });
  return {
    endpoints,
    prober,
    lost,
    probed,
    advance: (milliseconds: number) => {
      time += milliseconds;
    },
  };
}

test('marks an endpoint that does not respond as lost and reports it once', async () => {
  const { prober, lost, endpoints } = createCase({});
  assert.equal(await prober.probe('i-1', 'silence'), false);
  assert.equal(await prober.probe('i-1', 'silence'), false);
  assert.deepEqual(lost, ['i-1']);
  assert.ok(!endpoints.listUsable('booking', 10_000).some(({ record }) => record.id === 'i-1'));
});

test('sends one probe for many requests that wait for the same endpoint', async () => {
  const { prober, probed, advance } = createCase({ 'i-1': REPORT });
  await Promise.all([1, 2, 3].map(() => prober.probe('i-1', 'silence')));
  assert.equal(probed.length, 1);
  advance(1_000);
  await prober.probe('i-1', 'silence');
  assert.equal(probed.length, 2);
});

test('marks an endpoint that stalls another one as lost without a probe', async () => {
  const report = { ...REPORT, stalledAddresses: ['i-2'] };
  const { prober, lost, probed } = createCase({ 'i-1': report });
  await prober.probe('i-1', 'silence');
  assert.deepEqual(lost, ['i-2']);
  assert.deepEqual(probed, ['i-1']);
});

test('drops the layers of an endpoint that reports an empty restart before the registry', async () => {
  const report = { ...REPORT, startedAt: 9, acceptedOrders: 0, layers: undefined };
  const { prober, endpoints } = createCase({ 'i-1': report });
  await prober.probe('i-1', 'silence');
  assert.equal(endpoints.find('i-1')?.layers, undefined);
  assert.equal(endpoints.find('i-1')?.record.startedAt, 9);
});

test('applies the slowdown of a report and resets it when the endpoint is fast again', async () => {
  const reports: Record<string, EndpointReport> = { 'i-1': { ...REPORT, slowdown: 4 } };
  const { prober, endpoints, advance } = createCase(reports);
  await prober.probe('i-1', 'silence');
  assert.equal(endpoints.find('i-1')?.slowdown, 4);
  reports['i-1'] = REPORT;
  advance(1_000);
  await prober.probe('i-1', 'silence');
  assert.equal(endpoints.find('i-1')?.slowdown, 1);
});

test('probes the first endpoint of an idle path, and the others only in later rounds', () => {
  const { prober, probed, advance } = createCase({ 'i-0': REPORT, 'i-1': REPORT, 'i-2': REPORT });
  const path = ['i-0', 'i-1', 'i-2'];
  prober.probePath(path, 1);
  assert.deepEqual(probed, ['i-0']);
  advance(1_000);
  prober.probePath(path, 2);
  assert.deepEqual(probed.slice(1), path);
});

test('limits the rate of probes for many idle paths', () => {
  const count = 400;
  const ids = Array.from({ length: count }, (_, index) => `i-${index}`);
  const { prober, probed, advance } = createCase({}, count);
  const seconds = 10;
  for (let round = 0; round < seconds * 10; round += 1) {
    advance(100);
    for (let start = 0; start < count; start += 20) {
      prober.probePath(ids.slice(start, start + 20), 2);
    }
  }
  assert.ok(probed.length <= 30 * seconds + 60, String(probed.length));
});
