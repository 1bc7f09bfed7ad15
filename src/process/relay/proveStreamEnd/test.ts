/**
 * Guards against truncated streams that count as complete because something answers for their endpoint.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EndpointReport, PathHop } from '../../../types/site/index.js';
import { proveStreamEnd, type EndedRun, type StreamEndProof } from './index.js';

const REPORT: EndpointReport = {
  acceptedOrders: 1,
  isBusy: false,
  slowdown: 1,
  usedTokenLayers: 0,
  totalTokenLayers: 100,
  startedAt: 100,
  stalledAddresses: [],
  isLeaving: false,
};
const HOPS: readonly PathHop[] = ['10.0.0.1:80', '10.0.0.2:80'].map((address, index) => ({
  endpoint: `i-${index}`,
  address,
  range: { from: index, to: index + 1 },
}));
const RUN: EndedRun = { endpoint: 'i-0', address: '10.0.0.1:80', startedAt: 100, hops: HOPS };

async function prove(
  report: EndpointReport | undefined,
  run: EndedRun = RUN,
): Promise<{ readonly proof: StreamEndProof; readonly asked: readonly string[] }> {
  const asked: string[] = [];
  const fetchReportAt = (endpoint: string, address: string) => {
    asked.push(`${endpoint} ${address}`);
    return Promise.resolve(report);
  };
  return { proof: await proveStreamEnd({ fetchReportAt }, run, 'connection ended'), asked };
}

test('the start that the run was sent to is proof, with one query', async () => {
  const { proof, asked } = await prove(REPORT);
  assert.deepEqual(proof, { isComplete: true, isRunning: true });
  assert.deepEqual(asked, ['i-0 10.0.0.1:80']);
});

test('no report, another start and an unknown start are no proof', async () => {
  const ended = { isComplete: false, isRunning: false };
  assert.deepEqual((await prove(undefined)).proof, ended);
  assert.deepEqual((await prove({ ...REPORT, startedAt: 200 })).proof, ended);
  assert.deepEqual((await prove({ ...REPORT, startedAt: 0 })).proof, ended);
});

/** A request that was handed over to another node has no endpoint that this node knows. */
test('a run without a known start is not proved, and nothing is asked', async () => {
  const { proof, asked } = await prove(REPORT, { ...RUN, startedAt: 0 });
  assert.deepEqual([proof, asked], [{ isComplete: false }, []]);
});

/** A first endpoint that runs on may have ended the response because it lost a later one. */
test('an endpoint that waits for a later one of the path proves nothing', async () => {
  const later = await prove({ ...REPORT, stalledAddresses: ['10.0.0.2:80'] });
  assert.deepEqual(later.proof, { isComplete: false, isRunning: true });
  const other = await prove({ ...REPORT, stalledAddresses: ['10.0.0.9:80'] });
  assert.equal(other.proof.isComplete, true);
});
