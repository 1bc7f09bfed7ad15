import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEndpointRecord, SOUND_LINKS } from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { createNeighbours } from './index.js';

const NOW = 10_000;

function createNode(name: string, availabilityZone: string): NodeRecord {
  const addresses = { callerAddress: name, peerAddress: `${name}-peer` };
  return { name, availabilityZone, ...addresses, incarnation: 1, isLeaving: false };
}

function createCase(nodes: readonly NodeRecord[], links = SOUND_LINKS) {
  const endpoints = createEndpointTable();
  endpoints.update('i-1', createEndpointRecord({ id: 'i-1', service: 'booking' }), 0);
  const neighbours = createNeighbours({
    availabilityZone: 'mission',
    endpoints,
    links,
    port: { send: () => assert.fail('nothing is sent') },
    listConnected: () => nodes,
    now: () => NOW,
    random: () => 0,
  });
  const endpoint = endpoints.find('i-1');
  assert.ok(endpoint);
  return { neighbours, endpoints, endpoint };
}

test('picks nodes of the local zone first, then others, and none twice', () => {
  const { neighbours } = createCase([createNode('far', 'hope'), createNode('near', 'mission')]);
  assert.equal(neighbours.pick(new Set())?.name, 'near');
  assert.equal(neighbours.pick(new Set(['near']))?.name, 'far');
  assert.equal(neighbours.pick(new Set(['near', 'far'])), undefined);
});

test('a node that is cut off prefers its neighbours, and one that doubts only after a failure', () => {
  const isolated = createCase([], { ...SOUND_LINKS, isIsolated: () => true }).neighbours;
  assert.ok(isolated.arePreferred(false));
  const doubtful = createCase([], { ...SOUND_LINKS, isSuspect: () => true }).neighbours;
  assert.ok(!doubtful.arePreferred(false));
  assert.ok(doubtful.arePreferred(true));
  assert.ok(!createCase([]).neighbours.arePreferred(true));
});

test('others may reach an endpoint that this node found lost or could not connect to lately', () => {
  const { neighbours, endpoints, endpoint } = createCase([]);
  assert.ok(!neighbours.mayReachMore('booking'));
  endpoints.markLost(endpoint, NOW, 3_000);
  endpoint.lossFoundAt = NOW;
  assert.ok(neighbours.mayReachMore('booking'));
  assert.ok(!neighbours.mayReachMore('assistant'));
  endpoints.forgetFailures();
  endpoints.recordFailure(endpoint, NOW);
  endpoints.avoid(endpoint, NOW, 1_000);
  assert.ok(neighbours.mayReachMore('booking'));
});
