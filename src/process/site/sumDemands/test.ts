/**
 * Guards against a demand that is taken for small because some nodes do not report it: nodes of earlier versions,
 * nodes whose messages were lost, and nodes of a zone that is not heard of.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { ServiceDemand } from '../../../types/admission/index.js';
import { sumDemands } from './index.js';

function createDemand(requestsPerSecond: number, stayMilliseconds = 2_000): ServiceDemand {
  const numbers = { tokenLayersPerSecond: 100 * requestsPerSecond, heldTokenLayers: 300 };
  return {
    stayMilliseconds,
    priorities: [{ priority: 1, requestsPerSecond, heldRequests: 3, ...numbers }],
  };
}

function sumRate(
  reported: readonly (readonly [zone: string, rate: number])[],
  nodes: Readonly<Record<string, number>>,
): number {
  const demands = reported.map(([availabilityZone, rate]) => ({
    availabilityZone,
    demand: createDemand(rate),
  }));
  return sumDemands(demands, new Map(Object.entries(nodes))).priorities[0]?.requestsPerSecond ?? 0;
}

test('adds the demand of all nodes where all report it', () => {
  const reported = [
    ['mission', 2],
    ['mission', 4],
    ['hope', 9],
  ] as const;
  assert.equal(sumRate(reported, { mission: 2, hope: 1 }), 15);
});

test('a node without a report counts as the mean of its zone', () => {
  const reported = [
    ['mission', 2],
    ['mission', 4],
    ['hope', 9],
  ] as const;
  assert.equal(sumRate(reported, { mission: 6, hope: 2 }), 3 * 6 + 9 * 2);
});

test('a zone without reports counts as the mean of the others', () => {
  assert.equal(sumRate([['mission', 3]], { mission: 2, hope: 4 }), 18);
});

test('a node that has received nothing counts its own demand for each node', () => {
  assert.equal(sumRate([['mission', 2]], { mission: 29, hope: 29, abbotsford: 28 }), 2 * 86);
});

test('nodes that none of their requests has ended do not lower the mean stay', () => {
  const demands = [createDemand(1, 0), createDemand(1, 3_000)].map((demand) => ({
    availabilityZone: 'mission',
    demand,
  }));
  assert.equal(sumDemands(demands, new Map([['mission', 2]])).stayMilliseconds, 3_000);
  assert.equal(sumDemands([], new Map()).stayMilliseconds, 0);
});
