/**
 * Orders to engines. Guards against engines that keep an outdated version, layer ranges that lose
 * their last host during a change of version, and lasting effects of orders from a node that lost
 * the claim to send them.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { NodeDecisions } from '../src/process/node/nodeDecisions/index.js';
import {
  createVirtualEngine,
  createVirtualFleet,
  type VirtualEngine,
  type VirtualFleet,
} from '../standins/createVirtualFleet/index.js';
import type { VirtualSystem } from '../standins/createVirtualSystem/index.js';
import { generateAnswer } from '../standins/generateToken/index.js';
import { listOperations, sendChange, sendRequest, startSystem } from './support/index.js';

const RANGE_STARTS = [0, 24];
const REPLICAS = 3;
const SETTLE_MILLISECONDS = 6_000;

function createEngines(checksFencing: boolean): VirtualEngine[] {
  return RANGE_STARTS.flatMap((from) =>
    Array.from({ length: REPLICAS }, (_, index) =>
      createVirtualEngine({
        name: `e-${from.toString()}-${index.toString()}`,
        from,
        to: from + 24,
        checksFencing,
      }),
    ),
  );
}

function createFleet(checksFencing = true): VirtualFleet {
  return createVirtualFleet({ engines: createEngines(checksFencing), loadMilliseconds: 500 });
}

function changeVersion(system: VirtualSystem, node: string, version: string, base: number): void {
  sendChange(system, node, `version-${version}`, listOperations(version), base);
}

function countVersions(fleet: VirtualFleet, version: string): number {
  return [...fleet.engines.values()].filter(({ report }) => report.version === version).length;
}

function countOrders(fleet: VirtualFleet): number {
  return [...fleet.engines.values()].reduce((sum, { orders }) => sum + orders.length, 0);
}

/** Returns the smallest number of ready hosts of any layer range, of any version. */
function countMinimumHolders(fleet: VirtualFleet): number {
  return Math.min(
    ...RANGE_STARTS.map(
      (from) =>
        [...fleet.engines.values()].filter(
          ({ report }) => report.from <= from && from < report.to && !report.loading,
        ).length,
    ),
  );
}

for (const checksFencing of [true, false]) {
  test(`a new version reaches every engine with one order each, fencing checked: ${String(checksFencing)}`, () => {
    const fleet = createFleet(checksFencing);
    const system = startSystem(fleet, { nodes: 3 });
    changeVersion(system, 'node-1', '2', 1);
    let minimumHolders = Infinity;
    for (let step = 0; step < 300; step += 1) {
      system.run(100);
      minimumHolders = Math.min(minimumHolders, countMinimumHolders(fleet));
    }
    assert.equal(countVersions(fleet, '2'), 6);
    assert.equal(countOrders(fleet), 6);
    assert.ok(minimumHolders >= 1, 'a layer range had no ready host');
  });
}

test('keeps the only hosts of a layer range, and lists their orders as blocked', () => {
  const fleet = createVirtualFleet({
    engines: [
      createVirtualEngine({ name: 'left', from: 0, to: 24 }),
      createVirtualEngine({ name: 'right', from: 24, to: 48 }),
    ],
  });
  const system = startSystem(fleet, { nodes: 1 });
  changeVersion(system, 'node-1', '2', 1);
  system.run(20_000);
  assert.equal(countVersions(fleet, '1'), 2);
  const request = 'status';
  system.dispatch('node-1', {
    kind: 'operatorRequest',
    request,
    method: 'GET',
    path: '/v1/status',
    body: '',
  });
  assert.match(system.responses.get(request)?.body ?? '', /"blocked":\["left","right"\]/);
});

function findClaimHolder(system: VirtualSystem): string {
  const claim = system.platform.entries('orders/claim')[0];
  assert.ok(claim, 'no node holds the claim');
  return (JSON.parse(claim.value) as { node: string }).node;
}

/**
 * Pauses the node that holds the claim past its lease while the version changes twice, then resumes
 * it.
 */
function pauseClaimHolder(checksFencing: boolean, decisions?: NodeDecisions) {
  const fleet = createFleet(checksFencing);
  const senders = new Map<string, string>();
  const system = startSystem(fleet, {
    nodes: 3,
    decisions,
    onEffect: (node, effect) => {
      if (effect.kind !== 'callEndpoint' || effect.path !== '/orders') return;
      senders.set((JSON.parse(effect.body) as { id: string }).id, node);
    },
  });
  system.run(SETTLE_MILLISECONDS);
  const claimHolder = findClaimHolder(system);
  const others = system.nodeNames.filter((name) => name !== claimHolder);
  changeVersion(system, claimHolder, '2', 1);
  system.run(1_500);
  system.pause(claimHolder, 45_000);
  changeVersion(system, others[0] ?? '', '3', 2);
  system.run(100_000);
  return { fleet, system, claimHolder };
}

for (const checksFencing of [true, false]) {
  test(`orders of a node paused past its lease have no lasting effect, fencing checked: ${String(checksFencing)}`, () => {
    const { fleet } = pauseClaimHolder(checksFencing);
    assert.equal(countVersions(fleet, '3'), 6);
  });
}

/**
 * Refuses lease renewals of the claim holder, so that its lease expires at the platform while the
 * node continues. Returns the number of rounds in which orders were sent without a claim.
 */
function countOrdersWithoutClaim(decisions?: NodeDecisions): number {
  const fleet = createFleet(false);
  let isolatedNode = '';
  const system = startSystem(fleet, {
    nodes: 3,
    decisions,
    decideOutcome: (node, call) =>
      node === isolatedNode && call.kind === 'renewLease' ? 'refused' : 'done',
  });
  system.run(SETTLE_MILLISECONDS);
  isolatedNode = findClaimHolder(system);
  system.run(9_000);
  let roundsWithoutClaim = 0;
  for (let round = 0; round < 20; round += 1) {
    const before = countOrders(fleet);
    changeVersion(system, isolatedNode, `x${round.toString()}`, round + 1);
    system.run(600);
    const isClaimed = system.platform.entries('orders/claim').length > 0;
    if (!isClaimed && countOrders(fleet) > before) roundsWithoutClaim += 1;
  }
  return roundsWithoutClaim;
}

test('sends no order within the margin before the lease expires', () => {
  assert.equal(countOrdersWithoutClaim(), 0);
});

test('sends orders after the lease has expired when the margin is negative', () => {
  assert.ok(countOrdersWithoutClaim({ claimMarginMilliseconds: -60_000 }) > 0);
});

test('answers every request during a change of version, each by a single version', () => {
  const fleet = createFleet();
  const system = startSystem(fleet, { nodes: 3 });
  changeVersion(system, 'node-1', '2', 1);
  const versions = new Set<string>();
  for (let index = 0; index < 60; index += 1) {
    const request = `request-${index.toString()}`;
    const body = JSON.stringify({ model: 'm', prompt: request });
    sendRequest(system, system.nodeNames[index % 3] ?? '', request, '/v1/completions', body);
    system.run(300);
  }
  system.run(5_000);
  for (let index = 0; index < 60; index += 1) {
    const prompt = `request-${index.toString()}`;
    const body = system.responses.get(prompt)?.body ?? '';
    const text = (JSON.parse(body) as { choices: { text: string }[] }).choices[0]?.text;
    const version = ['1', '2'].find(
      (candidate) =>
        text === generateAnswer({ model: 'm', version: candidate, adapter: '', prompt }, 64),
    );
    assert.ok(version !== undefined, `${prompt}: ${body}`);
    versions.add(version);
  }
  assert.deepEqual([...versions].sort(), ['1', '2']);
});
