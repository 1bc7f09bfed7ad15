/**
 * Followers of a store whose open connections go silent, while new ones work.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../bench/sleep/index.js';
import { createPlatformStore } from '../platform/createPlatformStore/index.js';
import {
  createStoreFollower,
  type ChangeBatch,
  type FollowerRole,
  type StoreFollower,
} from '../src/process/site/createStoreFollower/index.js';
import { createProxy } from '../soak/createProxy/index.js';
import { serveSiteStore } from '../standins/serveSiteStore/index.js';
import { NOOP_LOGGER } from './support/site/index.js';

/** Time after a disruption of its connections from which a node has to know all changes that were acknowledged. */
const CONTACT_MILLISECONDS = 3_000;
/** Time in which the followers start, or apply a change in calm. */
const CALM_MILLISECONDS = 400;
const KEY = 'op/config';

/** Repeats a follower's steps until a test ends. */
async function repeatSteps({ step }: StoreFollower, hasEnded: () => boolean): Promise<void> {
  while (!hasEnded()) await sleep(await step());
}

/** Starts followers with some roles, which forward changes to each other, behind a link to a store. */
async function startFollowers(context: TestContext, roles: readonly FollowerRole[]) {
  const store = await serveSiteStore(0);
  const link = await createProxy(store.address);
  let hasEnded = false;
  const followers: StoreFollower[] = [];
  const values = roles.map(() => '');
  const clients = roles.map(() => createPlatformStore(link.address));
  const forward = (batch: ChangeBatch): void => {
    for (const follower of followers) follower.applyChanges(batch);
  };
  roles.forEach((role, index) => {
    const client = clients[index];
    assert.ok(client);
    const follower = createStoreFollower({
      store: client,
      logger: NOOP_LOGGER,
      now: () => performance.now(),
      countNodes: () => roles.length,
      getRole: () => role,
      onChanges: forward,
      onItem: (key, value) => {
        if (key === KEY) values[index] = value?.toString() ?? '';
      },
    });
    followers.push(follower);
  });
  const loops = followers.map((follower) => repeatSteps(follower, () => hasEnded));
  context.after(async () => {
    hasEnded = true;
    await link.close();
    for (const client of clients) client.close();
    await store.close();
    await Promise.all(loops);
  });
  // The other calls of a node leave further connections idle.
  await Promise.all(clients.flatMap((client) => [client.range(''), client.range('')]));
  return { store, link, values };
}

/** Writes a change right before the connections go silent, and one right after; resolves to the values in time. */
async function silenceAmidChanges(context: TestContext, roles: readonly FollowerRole[]) {
  const { store, link, values } = await startFollowers(context, roles);
  await sleep(CALM_MILLISECONDS);
  store.put(KEY, 'before');
  await sleep(CALM_MILLISECONDS);
  assert.deepEqual(new Set(values), new Set(['before']));
  link.silenceConnections();
  store.put(KEY, 'after');
  await sleep(CONTACT_MILLISECONDS);
  return values;
}

test('a change is known in time after the open connections to the store have gone silent', async (context) => {
  const values = await silenceAmidChanges(context, ['alone', 'alone', 'alone']);
  assert.deepEqual(values, ['after', 'after', 'after']);
});

test('a change that other nodes follow is known in time after all open connections have gone silent', async (context) => {
  const values = await silenceAmidChanges(context, ['forOthers', 'forOthers', 'throughOthers']);
  assert.deepEqual(values, ['after', 'after', 'after']);
});
