import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRestorableStore } from '../../../../tests/support/restorableStore/index.js';
import { createNodeRegistration } from './index.js';

const KEY = 'nodes/node-1';
const OTHER_KEY = 'nodes/node-2';

type RestorableStore = ReturnType<typeof createRestorableStore>;

/** Creates a registration that has passed its first pause. */
async function createCase(site: RestorableStore = createRestorableStore(), key = KEY) {
  const causes: unknown[] = [];
  const revoked: number[] = [];
  const role = { isIntroducer: true };
  const registration = createNodeRegistration({
    store: {
      ...site.store,
      revokeLease: (lease) => {
        revoked.push(lease);
        return site.store.revokeLease(lease);
      },
    },
    logger: {
      log: (_, fields) => causes.push('cause' in fields ? fields.cause : undefined),
      logRequestEvents: () => undefined,
      countDroppedLines: () => 0,
    },
    key,
    getValue: () => key,
    shouldRegister: () => role.isIntroducer,
  });
  await registration.step();
  return { site, causes, revoked, role, registration };
}

test('registers after the first pause, renews its lease, and registers anew when that expired', async () => {
  const { site, causes, registration } = await createCase();
  assert.equal(site.read(KEY), undefined);
  assert.ok((await registration.step()) > 1_000);
  assert.equal(site.read(KEY), KEY);
  await registration.step();
  assert.equal(site.calls.transact, 1);
  site.expireLease(1);
  assert.equal(site.read(KEY), undefined);
  await registration.step();
  assert.equal(site.read(KEY), KEY);
  assert.deepEqual(causes, ['new', 'expired']);
});

test('a node that is no introducer any more lets its lease expire', async () => {
  const { site, role, registration } = await createCase();
  await registration.step();
  role.isIntroducer = false;
  const { lease } = site.calls;
  await registration.step();
  await registration.step();
  assert.equal(site.calls.lease, lease);
});

/** Guards against a node that renews the lease of another, which got the same number. */
test('takes a new lease at once when the store was restored since, and leaves that of another', async () => {
  const site = createRestorableStore();
  const copy = site.copy();
  const { causes, registration } = await createCase(site);
  await registration.step();
  site.restore(copy);
  const other = await createCase(site, OTHER_KEY);
  await other.registration.step();
  await registration.step();
  assert.equal(site.read(KEY), KEY);
  assert.deepEqual(causes, ['new', 'restored']);
  // The other's lease has the number that this node's lease had before the restoration.
  site.expireLease(1);
  assert.equal(site.read(OTHER_KEY), undefined);
  assert.equal(site.read(KEY), KEY);
});

test('writes its item again when that disappeared though its lease did not expire', async () => {
  const { site, causes, registration } = await createCase();
  await registration.step();
  site.put(KEY, undefined);
  registration.recordRemoval();
  await registration.step();
  assert.equal(site.read(KEY), KEY);
  await registration.step();
  assert.deepEqual(causes, ['new', 'missing']);
});

test('removes its own item at the end, without revoking a lease, and does not register again', async () => {
  const { site, revoked, registration } = await createCase();
  await registration.step();
  await registration.end();
  assert.equal(site.read(KEY), undefined);
  assert.deepEqual(revoked, []);
  await registration.step();
  assert.equal(site.read(KEY), undefined);
});

/** Guards against a node that leaves and takes the registration of another with it. */
test('removes nothing at the end that another wrote, or after a restoration', async () => {
  const { site, registration } = await createCase();
  await registration.step();
  site.put(KEY, 'of a later start');
  await registration.end();
  assert.equal(site.read(KEY), 'of a later start');

  const restored = await createCase();
  await restored.registration.step();
  restored.site.restore(restored.site.copy());
  await restored.registration.end();
  assert.equal(restored.site.read(KEY), KEY);
});

test('a registration that completes after the end is removed', async () => {
  const { site, registration } = await createCase();
  const registering = registration.step();
  await registration.end();
  await registering;
  assert.equal(site.read(KEY), undefined);
});
