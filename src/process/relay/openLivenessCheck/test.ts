/**
 * Guards against a process that took over the address as proof for the one that sent a response.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import type { LivenessCheck, InstanceAnswer, LivenessResult } from '../../../types/relay/index.js';
import { waitForPendingReads } from '../../runtime/waitForPendingReads/index.js';
import { openLivenessCheck } from './index.js';

let server: Server;
let address = '';
let accepted: Socket[] = [];

before(async () => {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    accepted.push(socket);
  });
  address = await listenOnLoopback(server);
});

beforeEach(() => {
  accepted = [];
});

after(() => {
  server.close();
});

function open(answer: InstanceAnswer | undefined, to = address): LivenessCheck {
  return openLivenessCheck({ address: to, requestInstance: () => Promise.resolve(answer) });
}

function confirm(livenessCheck: LivenessCheck): Promise<LivenessResult> {
  const query = { endpoint: 'i-1', address, healthPath: '/healthz', timeoutMilliseconds: 500 };
  return livenessCheck.confirm(query).finally(livenessCheck.close);
}

/** Waits until the connection was established and what had arrived before it is read. */
async function waitUntilEarly(): Promise<void> {
  if (accepted.length === 0) await once(server, 'connection');
  for (let turn = 0; turn < 4; turn += 1) await waitForPendingReads();
}

test('any answer but that of another endpoint is proof on a connection that is older than the end', async () => {
  const findings: Record<string, LivenessResult> = {};
  for (const answer of ['same', 'other', 'unnamed', undefined] as const) {
    accepted = [];
    const livenessCheck = open(answer);
    await waitUntilEarly();
    livenessCheck.recordResponseEnd();
    findings[`${answer}`] = await confirm(livenessCheck);
  }
  const expected = { same: 'alive', other: 'ended', unnamed: 'alive', undefined: 'unknown' };
  assert.deepEqual(findings, expected);
});

/** The end of a response may arrive while the node is suspended, before it opens the connection. */
test('on a connection that is not older than the end, only the name of the endpoint is proof', async () => {
  const findings: Record<string, LivenessResult> = {};
  for (const answer of ['same', 'other', 'unnamed'] as const) {
    const livenessCheck = open(answer);
    livenessCheck.recordResponseEnd();
    findings[answer] = await confirm(livenessCheck);
  }
  assert.deepEqual(findings, { same: 'alive', other: 'ended', unnamed: 'unknown' });
});

/** Another process may answer under the same id at the address, so that no second connection is opened. */
test('a connection that the endpoint has closed proves nothing, whoever answers at the address', async () => {
  const livenessCheck = open('same');
  await waitUntilEarly();
  livenessCheck.recordResponseEnd();
  accepted[0]?.destroy();
  await waitForPendingReads();
  assert.deepEqual([await confirm(livenessCheck), accepted.length], ['unknown', 1]);
});

test('an address that cannot be connected to proves nothing', async () => {
  const livenessCheck = open('same', 'nowhere');
  livenessCheck.recordResponseEnd();
  assert.equal(await confirm(livenessCheck), 'unknown');
});
