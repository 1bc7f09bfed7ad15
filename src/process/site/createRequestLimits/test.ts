/**
 * Guards against shares of services whose requests have one priority or run on no path, and against demand that does
 * not reach the other nodes.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {
  createEndpointRecord,
  createRoute,
  createSiteConfiguration,
  FAST_ACCELERATOR,
  LAYERED_MODEL,
  NOOP_LOGGER,
} from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import { computeAdmissionShares } from '../../../request/computeAdmissionShares/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { compileSiteConfiguration } from '../../../version/compileSiteConfiguration/index.js';
import { createRandom } from '../../createRandom/index.js';
import { decodeMessage, tagNode } from '../peerMessageCodec/index.js';
import { createRequestLimits, type RequestLimits } from './index.js';

const NAMES = ['node-1', 'node-2'] as const;

function createPair(priorities: readonly number[]) {
  let now = 0;
  const service = { name: 'assistant', healthPath: '/', maximumConnections: 9 };
  const plain = { ...service, name: 'booking' };
  const configuration = createSiteConfiguration({
    accounts: undefined,
    services: [{ ...service, model: LAYERED_MODEL }, plain],
    routes: priorities.map((priority) =>
      createRoute({
        priority,
        services: [service, plain].map(({ name }) => ({ service: name, weight: 1 })),
      }),
    ),
  });
  const compiled = compileSiteConfiguration(configuration);
  const nodes = NAMES.map((name): NodeRecord => ({
    name,
    availabilityZone: 'mission',
    callerAddress: name,
    peerAddress: name,
    incarnation: 1,
    isLeaving: false,
  }));
  const findNodeByTag = (tag: number) => nodes.find((node) => tagNode(node) === tag);
  const lookups = {
    findNode: findNodeByTag,
    findEndpoint: () => undefined,
    findZone: () => undefined,
  };
  const limits = new Map<string, RequestLimits>();
  let messages = 0;
  for (const self of nodes) {
    const endpoints = createEndpointTable();
    const layers = { from: 0, to: 80 };
    const record = createEndpointRecord({
      service: 'assistant',
      kind: FAST_ACCELERATOR.name,
      layers,
    });
    endpoints.update(record.id, record, 0);
    const send = (address: string, bytes: Uint8Array): void => {
      messages += 1;
      const message = decodeMessage(bytes, lookups);
      if (message.kind === 'demand') limits.get(address)?.admission.receive(message.numbers);
    };
    limits.set(
      self.name,
      createRequestLimits({
        self,
        clock: {
          now: () => now,
          schedule: () => () => undefined,
          scheduleAfterReads: () => () => undefined,
        },
        random: createRandom(1),
        logger: NOOP_LOGGER,
        endpoints,
        peerPort: { send },
        getPeers: () => ({ listAlive: () => nodes, countKnown: () => 2, findNodeByTag }),
        getCompiled: () => compiled,
        computeShares: computeAdmissionShares,
      }),
    );
  }
  const run = (service: string): void => {
    for (; now < 3_000; now += 300) {
      for (let requests = 0; requests < 30; requests += 1) {
        limits.get('node-1')?.admission.record(service, { priority: 1, tokenLayers: 0 });
        if (requests % 6 === 0)
          limits.get('node-1')?.admission.record(service, { priority: 3, tokenLayers: 0 });
      }
      for (const { admission } of limits.values()) admission.step();
    }
  };
  const listShares = (service: string): (number | undefined)[] =>
    [...limits.values()].map(({ admission }) => admission.findShare(service, 3));
  return { run, listShares, countMessages: () => messages };
}

test('the demand of one node lowers the share of less urgent requests on all', () => {
  const pair = createPair([0, 2]);
  pair.run('assistant');
  for (const share of pair.listShares('assistant')) assert.ok((share ?? 1) < 0.9, `share ${share}`);
});

test('a service with one priority, or without a model, takes no part', () => {
  const single = createPair([2, 2]);
  single.run('assistant');
  assert.deepEqual(single.listShares('assistant'), [1, 1]);
  const plain = createPair([0, 2]);
  plain.run('booking');
  assert.deepEqual(plain.listShares('booking'), [1, 1]);
  assert.equal(single.countMessages() + plain.countMessages(), 0);
});
