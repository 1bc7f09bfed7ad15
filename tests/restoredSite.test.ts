/**
 * Complete nodes of a site whose store is restored from an older copy of itself.
 * Guards against a route that is not served, a version that comes back older, and requests to
 * endpoints that left.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { serveSiteEndpoint, type SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  KEY,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type TestNode,
} from './support/siteNodes/index.js';

const NEW_KEY = 'key-2';
/** Time within which a version has to be in force, in milliseconds. */
const APPLY_MILLISECONDS = 2_000;

let store: SiteStore;
let node: TestNode;
let peer: TestNode;
let later: TestNode | undefined;
let staying: SiteEndpoint;
let leaving: SiteEndpoint;

function configure(version: number, ...keys: string[]): void {
  store.put(
    'op/config',
    createPlatformConfiguration(version, { tenants: [{ name: 'kiosk', api_keys: keys }] }),
  );
}

async function readStatus(target: TestNode, key: string): Promise<number> {
  const headers = { Credential: key };
  return (await sendCallerRequest({ address: target.callers, path: '/look/', headers })).status;
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits until both nodes know a key. */
async function waitForKey(key: string): Promise<void> {
  await waitFor(`${key} is accepted`, async () => {
    const statuses = await Promise.all([node, peer].map((target) => readStatus(target, key)));
    return statuses.every((status) => status === 200);
  });
}

before(async () => {
  store = await startStore();
  node = await startNode('node-1', store);
  peer = await startNode('node-2', store);
  staying = await serveSiteEndpoint({ id: 'plain-1', handle: respondCompletely });
  leaving = await serveSiteEndpoint({ id: 'plain-2', handle: respondCompletely });
  for (const endpoint of [staying, leaving]) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  configure(3, KEY);
  await Promise.all([node, peer].map(waitUntilReady));
  await waitForKey(KEY);
});

after(async () => {
  const started = [node, peer, ...(later ? [later] : [])];
  await Promise.all(started.map((target) => target.node.leave()));
  await store.close();
  await Promise.all([staying, leaving].map((endpoint) => endpoint.crash()));
});

test('a version that is written after a restoration is in force in time, and none comes back older', async () => {
  await wait(300);
  const copiedAt = performance.now();
  store.remove(`servers/${leaving.id}`);
  configure(5, KEY, NEW_KEY);
  await waitForKey(NEW_KEY);
  store.restore(performance.now() - copiedAt);
  // The revisions of the restored store pass those that the nodes know.
  configure(8, KEY, NEW_KEY, 'key-3');
  for (let write = 0; write < 30; write += 1) store.put('other', `${write}`);
  const restoredAt = performance.now();
  await waitForKey('key-3');
  const duration = performance.now() - restoredAt;
  assert.ok(duration < APPLY_MILLISECONDS, `${Math.round(duration)} ms`);
  for (const target of [node, peer]) {
    assert.ok(target.logs.some((line) => line.includes('store-restored')));
    const metrics = await sendCallerRequest({ address: target.readiness, path: '/metrics' });
    assert.match(metrics.body, /^marjoramcleat_store_era 2$/m);
  }
});

test('an endpoint that left gets no request though the older copy has it', async () => {
  leaving.received.length = 0;
  for (let round = 0; round < 12; round += 1) assert.equal(await readStatus(node, KEY), 200);
  assert.equal(leaving.received.length, 0);
});

test('a restored store that shows an older version for a while takes nothing out of force', async () => {
  const copiedAt = performance.now();
  await wait(50);
  configure(11, KEY, 'key-4');
  await waitForKey('key-4');
  store.restore(performance.now() - copiedAt);
  await waitFor('both nodes have read all items', () =>
    [node, peer].every(
      ({ logs }) => logs.filter((line) => line.includes('store-restored')).length === 2,
    ),
  );
  for (const target of [node, peer]) {
    assert.equal(await readStatus(target, 'key-4'), 200);
    assert.equal(await readStatus(target, 'key-3'), 401);
  }
});

test('a node that starts on a store with an older version gets the newer one from others and keeps it', async () => {
  const started = await startNode('node-3', store);
  later = started;
  await waitUntilReady(started);
  await waitFor('the newer version is in force', async () => {
    return (await readStatus(started, 'key-4')) === 200;
  });
  store.put('other', 'again');
  await wait(500);
  assert.equal(await readStatus(started, 'key-4'), 200);
  assert.equal(await readStatus(started, 'key-3'), 401);
});
