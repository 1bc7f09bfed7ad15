/**
 * Changes of the configuration. Guards against accepted changes that are lost or reverted, and
 * against wrong outcomes, because operators race, a node fails, replies are lost, or the store is
 * unreachable or restored to an older revision.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { createRandom } from '../src/process/createRandom/index.js';
import type { NodeDecisions } from '../src/process/node/nodeDecisions/index.js';
import type { ConfigurationOperation } from '../src/types/configuration/index.js';
import { createVirtualFleet } from '../standins/createVirtualFleet/index.js';
import type { CallOutcome, VirtualSystem } from '../standins/createVirtualSystem/index.js';
import { readOutcome, sendChange, startSystem } from './support/index.js';

const SETTLE_MILLISECONDS = 17_000;

interface Applied {
  readonly revision: number;
  readonly at: number;
}

interface ObservedSystem {
  readonly system: VirtualSystem;
  /** Applied revisions by node, in the order of their application. */
  readonly applied: Map<string, Applied[]>;
}

interface Conditions {
  isDown: boolean;
  fate?: (random: () => number) => CallOutcome;
}

function startObserved(
  nodes: number,
  seed: number,
  conditions: Conditions,
  decisions?: NodeDecisions,
): ObservedSystem {
  const random = createRandom(seed);
  const applied: ObservedSystem['applied'] = new Map();
  const system = startSystem(createVirtualFleet({ engines: [] }), {
    nodes,
    seed,
    decisions,
    decideOutcome: () => (conditions.isDown ? 'refused' : (conditions.fate?.(random) ?? 'done')),
    onEffect: (node, effect, at) => {
      if (effect.kind !== 'log' || effect.event !== 'configuration-applied') return;
      applied.set(node, [
        ...(applied.get(node) ?? []),
        { revision: Number(effect.fields.revision), at },
      ]);
    },
  });
  return { system, applied };
}

function createLabelOperations(name: string, value: string): ConfigurationOperation[] {
  return [{ kind: 'setLabels', object: 'account', name, labels: { class: value } }];
}

function readRevision(system: VirtualSystem, request: string): number {
  const answer = system.responses.get(request);
  if (readOutcome(answer) !== 'answered') return 0;
  return (JSON.parse(answer?.body ?? '{}') as { revision: number }).revision;
}

function findLatestRevision({ applied }: ObservedSystem, node: string): number {
  return applied.get(node)?.at(-1)?.revision ?? 0;
}

function listRevisionDecreases({ applied }: ObservedSystem): string[] {
  return [...applied.entries()].flatMap(([node, list]) =>
    list.flatMap(({ revision }, index) =>
      revision < (list[index - 1]?.revision ?? 0)
        ? [`${node} reverted to revision ${revision.toString()}`]
        : [],
    ),
  );
}

test('a change is in force on all six nodes within two seconds of its acceptance', () => {
  const watched = startObserved(6, 1, { isDown: false });
  const acceptedAt = watched.system.queue.now();
  const request = sendChange(
    watched.system,
    'node-4',
    'one',
    createLabelOperations('a', 'kiosk'),
    1,
  );
  watched.system.run(2_000);
  assert.equal(readRevision(watched.system, request), 2);
  for (const node of watched.system.nodeNames) {
    const last = watched.applied.get(node)?.at(-1);
    assert.ok(last);
    assert.equal(last.revision, 2, node);
    assert.ok(last.at - acceptedAt <= 2_000);
  }
});

test('a change survives an outage of the store and the failure of the node that accepted it', () => {
  const conditions = { isDown: false };
  const watched = startObserved(6, 2, conditions);
  const { system } = watched;
  const request = sendChange(system, 'node-1', 'one', createLabelOperations('a', 'kiosk'), 1);
  while (!system.responses.get(request)?.isOver) system.run(1);
  conditions.isDown = true;
  system.kill('node-1');
  system.run(5_000);
  for (const node of system.nodeNames.slice(1))
    assert.equal(findLatestRevision(watched, node), 2, node);
});

test('of concurrent changes, each accepted one is applied once and every node has the last revision', () => {
  const random = createRandom(3);
  const draw = (): CallOutcome => {
    const value = random();
    if (value < 0.1) return 'lostReply';
    return value < 0.15 ? 'lostCall' : 'done';
  };
  const watched = startObserved(6, 3, { isDown: false, fate: draw });
  const { system } = watched;
  const requests = Array.from({ length: 24 }, (_, index) => {
    const node = system.nodeNames[index % 6] ?? '';
    const operations = createLabelOperations(
      `account-${(index % 16).toString()}`,
      `class-${index.toString()}`,
    );
    const id = `race-${index.toString()}`;
    system.queue.schedule(random() * 3_000, () => {
      sendChange(system, node, id, operations, 1);
    });
    return { request: `change-${id}`, operations };
  });
  system.run(60_000);
  const accepted = requests.filter(({ request }) => readRevision(system, request) > 0);
  const outcomes = requests.map(({ request }) => readOutcome(system.responses.get(request)));
  assert.ok(!outcomes.includes('none'));
  assert.ok(accepted.length >= 16, `only ${accepted.length.toString()} changes were accepted`);
  const head = system.platform.entries('configuration/head')[0]?.value ?? '{}';
  const { changes, revision } = JSON.parse(head) as { changes: string[]; revision: number };
  assert.equal(new Set(changes).size, changes.length, 'no change is applied twice');
  for (const { request } of accepted)
    assert.ok(changes.includes(request.replace('change-', 'change-id-')));
  for (const node of system.nodeNames)
    assert.equal(findLatestRevision(watched, node), revision, node);
  assert.deepEqual(listRevisionDecreases(watched), []);
});

/**
 * Replaces the configuration head in the store by an older one, as a restore from a backup does.
 */
function restoreOldHead(decisions?: NodeDecisions): { watched: ObservedSystem; revision: number } {
  const watched = startObserved(3, 4, { isDown: false }, decisions);
  const { system } = watched;
  const old = system.platform.entries('configuration/head')[0];
  sendChange(system, 'node-1', 'one', createLabelOperations('a', 'kiosk'), 1);
  system.run(SETTLE_MILLISECONDS);
  const present = system.platform.entries('configuration/head')[0];
  system.platform.call({
    kind: 'compareAndSwap',
    key: 'configuration/head',
    expectedRevision: present?.revision ?? 0,
    value: old?.value ?? '',
  });
  system.run(SETTLE_MILLISECONDS);
  return { watched, revision: findLatestRevision(watched, 'node-2') };
}

test('a lower revision in the store is never applied, and the next change gets a higher one', () => {
  const { watched, revision } = restoreOldHead();
  assert.equal(revision, 2);
  assert.deepEqual(listRevisionDecreases(watched), []);
  const request = sendChange(
    watched.system,
    'node-2',
    'two',
    createLabelOperations('b', 'kiosk'),
    2,
  );
  watched.system.run(SETTLE_MILLISECONDS);
  assert.equal(readRevision(watched.system, request), 3);
  for (const node of watched.system.nodeNames)
    assert.equal(findLatestRevision(watched, node), 3, node);
});

test('the same restore reverts nodes that apply every differing revision', () => {
  const { watched } = restoreOldHead({
    isNewerRevision: (offered, inForce) => offered !== inForce,
  });
  assert.notDeepEqual(listRevisionDecreases(watched), []);
});

test('a node that starts while the store is unreachable gets the configuration from its peers', () => {
  const conditions = { isDown: false };
  const watched = startObserved(4, 5, conditions);
  const { system } = watched;
  system.kill('node-4');
  system.run(20_000);
  sendChange(system, 'node-1', 'one', createLabelOperations('a', 'kiosk'), 1);
  system.run(3_000);
  conditions.isDown = true;
  system.run(5_000);
  system.start('node-4');
  system.run(8_000);
  assert.equal(findLatestRevision(watched, 'node-4'), 2);
});

test('reports a change whose acceptance cannot be determined as unknown, never as refused', () => {
  let isLost = false;
  const system = startSystem(createVirtualFleet({ engines: [] }), {
    nodes: 2,
    decideOutcome: (_node, call) => {
      if (!isLost) return 'done';
      if (call.kind !== 'compareAndSwap') return 'refused';
      return call.key === 'configuration/head' ? 'lostReply' : 'done';
    },
  });
  const request = sendChange(system, 'node-1', 'lost', createLabelOperations('a', 'kiosk'), 1);
  system.queue.schedule(4, () => {
    isLost = true;
  });
  system.run(60_000);
  assert.match(system.responses.get(request)?.body ?? '', /"code":1508.*"outcome":"unknown"/);
});
