/**
 * Guards against a process that took over the address as proof for the one that sent a response.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import type {
  EndpointWitness,
  InstanceAnswer,
  WitnessFinding,
} from '../../../types/relay/index.js';
import { waitForPendingReads } from '../../runtime/waitForPendingReads/index.js';
import { openWitness } from './index.js';

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

function open(answer: InstanceAnswer | undefined, to = address): EndpointWitness {
  return openWitness({ address: to, requestInstance: () => Promise.resolve(answer) });
}

function confirm(witness: EndpointWitness): Promise<WitnessFinding> {
  const query = { endpoint: 'i-1', address, healthPath: '/healthz', timeoutMilliseconds: 500 };
  return witness.confirm(query).finally(witness.close);
}

/** Waits until the connection was established and what had arrived before it is read. */
async function waitUntilEarly(): Promise<void> {
  if (accepted.length === 0) await once(server, 'connection');
  for (let turn = 0; turn < 4; turn += 1) await waitForPendingReads();
}

test('any answer but that of another endpoint is proof on a connection that is older than the end', async () => {
  const findings: Record<string, WitnessFinding> = {};
  for (const answer of ['same', 'other', 'unnamed', undefined] as const) {
    accepted = [];
    const witness = open(answer);
    await waitUntilEarly();
    witness.recordResponseEnd();
    findings[`${answer}`] = await confirm(witness);
  }
  const expected = { same: 'outlived', other: 'ended', unnamed: 'outlived', undefined: 'unknown' };
  assert.deepEqual(findings, expected);
});

/** The end of a response may arrive while the node is suspended, before it opens the connection. */
test('on a connection that is not older than the end, only the name of the endpoint is proof', async () => {
  const findings: Record<string, WitnessFinding> = {};
  for (const answer of ['same', 'other', 'unnamed'] as const) {
    const witness = open(answer);
    witness.recordResponseEnd();
    findings[answer] = await confirm(witness);
  }
  assert.deepEqual(findings, { same: 'outlived', other: 'ended', unnamed: 'unknown' });
});

/** Another process may answer under the same id at the address, so that no second connection is opened. */
test('a connection that the endpoint has closed proves nothing, whoever answers at the address', async () => {
  const witness = open('same');
  await waitUntilEarly();
  witness.recordResponseEnd();
  accepted[0]?.destroy();
  await waitForPendingReads();
  assert.deepEqual([await confirm(witness), accepted.length], ['unknown', 1]);
});

test('an address that cannot be connected to proves nothing', async () => {
  const witness = open('same', 'nowhere');
  witness.recordResponseEnd();
  assert.equal(await confirm(witness), 'unknown');
});
