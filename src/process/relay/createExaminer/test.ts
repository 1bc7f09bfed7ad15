import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRecord, SILENT_LOGGER } from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointReport } from '../../../types/site/index.js';
import { createExaminer } from './index.js';

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

/** An examiner over endpoints `i-0`, `i-1`, … whose reports are given by address. */
function createCase(reports: Readonly<Record<string, EndpointReport | undefined>>, count = 4) {
  const endpoints = createEndpointTable();
  for (let index = 0; index < count; index += 1) {
    const id = `i-${index}`;
    endpoints.update(id, createRecord({ id, address: id, layers: { from: 0, to: 8 } }), 0);
  }
  const lost: string[] = [];
  const probed: string[] = [];
  let time = 10_000;
  const examiner = createExaminer({
    endpoints,
    endpointPort: {
      fetchReport: (address) => {
        probed.push(address);
        return Promise.resolve(reports[address]);
      },
    },
    logger: SILENT_LOGGER,
    now: () => time,
    onLost: (endpoint) => lost.push(endpoint),
  });
  return {
    endpoints,
    examiner,
    lost,
    probed,
    advance: (milliseconds: number) => {
      time += milliseconds;
    },
  };
}

test('an endpoint that does not answer is lost, and told of once', async () => {
  const { examiner, lost, endpoints } = createCase({});
  assert.equal(await examiner.examine('i-1', 'silence'), false);
  assert.equal(await examiner.examine('i-1', 'silence'), false);
  assert.deepEqual(lost, ['i-1']);
  assert.ok(!endpoints.listUsable('booking', 10_000).some(({ record }) => record.id === 'i-1'));
});

test('many requests that wait for one endpoint ask it once', async () => {
  const { examiner, probed, advance } = createCase({ 'i-1': REPORT });
  await Promise.all([1, 2, 3].map(() => examiner.examine('i-1', 'silence')));
  assert.equal(probed.length, 1);
  advance(1_000);
  await examiner.examine('i-1', 'silence');
  assert.equal(probed.length, 2);
});

test('an endpoint for which another waits in vain is lost at once, without a question', async () => {
  const report = { ...REPORT, stalledAddresses: ['i-2'] };
  const { examiner, lost, probed } = createCase({ 'i-1': report });
  await examiner.examine('i-1', 'silence');
  assert.deepEqual(lost, ['i-2']);
  assert.deepEqual(probed, ['i-1']);
});

test('an endpoint that started again empty, before the registry says so, holds no layers', async () => {
  const report = { ...REPORT, startedAt: 9, acceptedOrders: 0, layers: undefined };
  const { examiner, endpoints } = createCase({ 'i-1': report });
  await examiner.examine('i-1', 'silence');
  assert.equal(endpoints.find('i-1')?.layers, undefined);
  assert.equal(endpoints.find('i-1')?.record.startedAt, 9);
});

test('a node that finds most endpoints lost does not tell others, since it may be cut off', async () => {
  const { examiner, lost } = createCase({});
  for (const id of ['i-0', 'i-1', 'i-2', 'i-3']) await examiner.examine(id, 'silence');
  assert.deepEqual(lost, ['i-0', 'i-1']);
});

test('a slow pace is taken from the report and given up when it ends', async () => {
  const reports: Record<string, EndpointReport> = { 'i-1': { ...REPORT, slowdown: 4 } };
  const { examiner, endpoints, advance } = createCase(reports);
  await examiner.examine('i-1', 'silence');
  assert.equal(endpoints.find('i-1')?.pace, 4);
  reports['i-1'] = REPORT;
  advance(1_000);
  await examiner.examine('i-1', 'silence');
  assert.equal(endpoints.find('i-1')?.pace, 1);
});

test('a silent path asks its first endpoint, and the others only if the silence goes on', () => {
  const { examiner, probed, advance } = createCase({ 'i-0': REPORT, 'i-1': REPORT, 'i-2': REPORT });
  const path = ['i-0', 'i-1', 'i-2'];
  examiner.examinePath(path, 1);
  assert.deepEqual(probed, ['i-0']);
  advance(1_000);
  examiner.examinePath(path, 2);
  assert.deepEqual(probed.slice(1), path);
});

test('many silent paths ask a bounded number of questions, whatever their endpoints', () => {
  const count = 400;
  const ids = Array.from({ length: count }, (_, index) => `i-${index}`);
  const { examiner, probed, advance } = createCase({}, count);
  const seconds = 10;
  for (let round = 0; round < seconds * 10; round += 1) {
    advance(100);
    for (let start = 0; start < count; start += 20) {
      examiner.examinePath(ids.slice(start, start + 20), 2);
    }
  }
  assert.ok(probed.length <= 30 * seconds + 60, String(probed.length));
});
