/**
 * Followers of a store that is restored from older copies of itself.
 * Guards against nodes that go on from revisions which the store gave out again, and so miss changes
 * or go back to older ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  createStoreFollower,
  type ChangeBatch,
  type FollowerRole,
  type StoreFollower,
} from '../src/process/site/createStoreFollower/index.js';
import { createSiteState } from '../src/process/site/createSiteState/index.js';
import { splitChanges } from '../src/process/site/splitChanges/index.js';
import { parseJson } from '../src/process/parseJson/index.js';
import { createRestorableStore, type StoreCopy } from './support/restorableStore/index.js';
import { createSiteConfiguration, NOOP_LOGGER } from './support/site/index.js';

/** Time in which a follower removes what is missing from a restored store, in milliseconds. */
const SETTLING_MILLISECONDS = 3_000;
const SEED = 27;
const CONFIGURATION_KEY = 'op/config';

interface CreateFollowerOptions {
  readonly clock: { time: number };
  readonly site: ReturnType<typeof createRestorableStore>;
  readonly role?: FollowerRole;
  readonly onChanges?: (batch: ChangeBatch) => void;
}

function createFollower({ clock, site, role = 'alone', onChanges }: CreateFollowerOptions) {
  const values = new Map<string, string>();
  const versions: number[] = [];
  const state = createSiteState({
    decoders: {
      decodeConfiguration: (value) => createSiteConfiguration({ version: Number(value) }),
      decodeEndpoint: () => undefined,
    },
    logger: NOOP_LOGGER,
    now: () => clock.time,
    parse: parseJson,
    onConfiguration: ({ configuration }) => versions.push(configuration.version),
  });
  const follower = createStoreFollower({
    store: site.store,
    logger: NOOP_LOGGER,
    now: () => clock.time,
    countNodes: () => 12,
    getRole: () => role,
    ...(onChanges && { onChanges }),
    onItem: (key, value) => {
      if (key === CONFIGURATION_KEY && value) state.applyConfiguration(value.toString(), 'store');
      else if (value) values.set(key, value.toString());
      else values.delete(key);
    },
  });
  return { follower, values, versions };
}

/** Runs a follower for a time, with the pauses that it asks for but at most 100 ms each. */
async function run(follower: StoreFollower, clock: { time: number }, milliseconds: number) {
  const until = clock.time + milliseconds;
  while (clock.time < until) {
    const pause = await follower.step();
    clock.time += Math.min(100, Math.max(1, pause));
  }
}

type Action =
  | { readonly kind: 'put' | 'remove'; readonly key: string; readonly value: number }
  | { readonly kind: 'configure'; readonly rise: number }
  | { readonly kind: 'restore'; readonly age: number }
  | { readonly kind: 'step'; readonly steps: number }
  | { readonly kind: 'outage'; readonly milliseconds: number };

const key = fc.constantFrom('a', 'b', 'c', 'd');
const value = fc.integer({ min: 0, max: 9 });
const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ kind: fc.constantFrom('put' as const, 'remove' as const), key, value }),
  fc.record({ kind: fc.constant('configure' as const), rise: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('restore' as const), age: fc.integer({ min: 0, max: 6 }) }),
  fc.record({ kind: fc.constant('step' as const), steps: fc.integer({ min: 1, max: 3 }) }),
  fc.record({
    kind: fc.constant('outage' as const),
    milliseconds: fc.integer({ min: 1, max: 3_000 }),
  }),
);

/** Applies random actions to a store and its follower. */
async function play(actions: readonly Action[]) {
  const clock = { time: 0 };
  const site = createRestorableStore();
  const copies: StoreCopy[] = [];
  const created = createFollower({ clock, site });
  let version = 0;
  for (const step of actions) {
    copies.push(site.copy());
    switch (step.kind) {
      case 'put':
        site.put(step.key, `${step.value}`);
        break;
      case 'remove':
        site.put(step.key, undefined);
        break;
      case 'configure':
        version += step.rise;
        site.put(CONFIGURATION_KEY, `${version}`);
        break;
      case 'restore':
        site.restore(copies[Math.max(0, copies.length - 1 - step.age)] ?? site.copy());
        break;
      case 'step':
        for (let round = 0; round < step.steps; round += 1) {
          clock.time += 30;
          await created.follower.step();
        }
        break;
      case 'outage':
        site.outage.isActive = true;
        await run(created.follower, clock, step.milliseconds);
        site.outage.isActive = false;
    }
  }
  return { ...created, clock, site };
}

test('a follower ends with the items of a store that is restored at random, and no version reverts', async () => {
  const followsStore = fc.asyncProperty(
    fc.array(action, { minLength: 5, maxLength: 60 }),
    async (actions) => {
      const { follower, values, versions, clock, site } = await play(actions);
      await run(follower, clock, SETTLING_MILLISECONDS);
      const expected = site.list().filter(([name]) => name !== CONFIGURATION_KEY);
      assert.deepEqual([...values].sort(), expected.sort());
      for (let index = 1; index < versions.length; index += 1)
        assert.ok((versions[index] ?? 0) > (versions[index - 1] ?? 0), versions.join());
      const stored = Number(site.read(CONFIGURATION_KEY) ?? 0);
      assert.ok((versions.at(-1) ?? 0) >= stored);
    },
  );
  await fc.assert(followsStore, { seed: SEED, numRuns: 300 });
});

/** Creates a node that follows for others, and several that follow through it. */
function createGroup() {
  const clock = { time: 0 };
  const site = createRestorableStore();
  const isCut = { now: false };
  const listeners = Array.from({ length: 8 }, () =>
    createFollower({ clock, site, role: 'throughOthers' }),
  );
  const forwarder = createFollower({
    clock,
    site,
    role: 'forOthers',
    onChanges: (batch) => {
      if (isCut.now) return;
      for (const part of splitChanges(batch))
        for (const { follower } of listeners) follower.applyChanges(part);
    },
  });
  const nodes = [forwarder, ...listeners];
  const runAll = async (milliseconds: number): Promise<void> => {
    const until = clock.time + milliseconds;
    const nextSteps = new Map(nodes.map((node) => [node, clock.time]));
    while (clock.time < until) {
      clock.time += 10;
      for (const node of nodes) {
        if ((nextSteps.get(node) ?? 0) > clock.time) continue;
        nextSteps.set(node, clock.time + (await node.follower.step()));
      }
    }
  };
  return { site, isCut, nodes, listeners, runAll };
}

test('nodes that follow through others go to the next era with them, though revisions have passed theirs', async () => {
  const { site, nodes, runAll } = createGroup();
  site.put('kept', '1');
  const copy = site.copy();
  for (let write = 0; write < 5; write += 1) site.put('lost', `${write}`);
  await runAll(1_000);
  assert.ok(nodes.every(({ values }) => values.get('lost') === '4'));
  site.restore(copy);
  // Before any node asks again, the revisions pass those that the nodes know.
  site.put('added', '1');
  for (let write = 0; write < 20; write += 1) site.put('other', `${write}`);
  await runAll(500);
  for (const { values, follower } of nodes) {
    assert.equal(values.get('added'), '1');
    assert.equal(follower.getEra(), 1);
  }
  await runAll(SETTLING_MILLISECONDS);
  const expected = site.list().sort();
  for (const { values } of nodes) assert.deepEqual([...values].sort(), expected);
});

test('nodes whose follower no longer forwards find a restoration by themselves', async () => {
  const { site, isCut, nodes, runAll } = createGroup();
  site.put('kept', '1');
  const copy = site.copy();
  site.put('kept', '2');
  await runAll(1_000);
  isCut.now = true;
  site.restore(copy);
  site.put('added', '1');
  site.put('added', '2');
  await runAll(2_500);
  for (const { values } of nodes)
    assert.deepEqual(Object.fromEntries(values), { kept: '1', added: '2' });
});

test('after a restoration, a group goes back to the calls of one node', async () => {
  const { site, nodes, listeners, runAll } = createGroup();
  const copy = site.copy();
  site.put('lost', '1');
  await runAll(1_000);
  site.restore(copy);
  await runAll(1_000);
  assert.equal(site.calls.range, 2 * nodes.length);
  for (const { follower } of listeners) assert.ok(follower.isReachable());
  const { watch: before } = site.calls;
  await runAll(5_000);
  const watches = site.calls.watch - before;
  site.calls.watch = 0;
  await runAll(5_000);
  assert.ok(Math.abs(watches - site.calls.watch) <= 2, `${watches} and ${site.calls.watch}`);
});
