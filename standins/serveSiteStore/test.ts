import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { sleep } from '../../bench/sleep/index.js';
import { serveSiteStore, type SiteStore } from './index.js';

interface Answer {
  readonly status: number;
  readonly era: number;
  readonly value: {
    readonly at?: number;
    readonly revision?: number;
    readonly lease?: number;
    readonly items?: readonly { readonly key: string; readonly revision: number }[];
    readonly events?: readonly { readonly key: string }[];
  };
}

const COPY_MARGIN_MILLISECONDS = 5;
const DELAY_MILLISECONDS = 60;
const LEASE_MILLISECONDS = 300;

let store: SiteStore;

beforeEach(async () => {
  store = await serveSiteStore(0);
});
afterEach(() => store.close());

async function call(method: string, path: string, body?: object): Promise<Answer> {
  const init = body === undefined ? { method } : { method, body: JSON.stringify(body) };
  const response = await fetch(`http://${store.address}${path}`, init);
  const value = (await response.json()) as Answer['value'];
  return { status: response.status, era: Number(response.headers.get('store-era')), value };
}

function watch(after: number, milliseconds = 10): Promise<Answer> {
  return call('GET', `/kv-watch?prefix=&after=${after}&wait_ms=${milliseconds}`);
}

async function readRevision(): Promise<number> {
  return (await call('GET', '/kv-range?prefix=')).value.at ?? 0;
}

/** Returns a function that restores the present state; changes before and after it are some time apart. */
async function copyState(): Promise<() => void> {
  await sleep(COPY_MARGIN_MILLISECONDS);
  const copiedAt = performance.now();
  await sleep(COPY_MARGIN_MILLISECONDS);
  return () => {
    store.restore(performance.now() - copiedAt);
  };
}

/** Waits until an item is removed; fails when it is not. */
async function waitUntilRemoved(key: string): Promise<void> {
  for (let check = 0; store.read(key) !== undefined; check += 1) {
    assert.ok(check < 100, `${key} was not removed`);
    await sleep(DELAY_MILLISECONDS);
  }
}

test('restores items, removals and the revision, and gives out the same revisions again', async () => {
  store.put('kept', 'old');
  store.put('removed', 'old');
  const revision = await readRevision();
  const restore = await copyState();
  store.put('kept', 'new');
  store.put('added', 'new');
  store.remove('removed');
  restore();
  assert.equal(store.read('kept'), 'old');
  assert.equal(store.read('removed'), 'old');
  assert.equal(store.read('added'), undefined);
  assert.equal(await readRevision(), revision);
  store.put('other', 'other');
  const { items = [] } = (await call('GET', '/kv-range?prefix=other')).value;
  assert.equal(items[0]?.revision, revision + 1);
});

test('changes nothing when all writes are older than the copy', async () => {
  store.put('kept', 'old');
  const restore = await copyState();
  restore();
  assert.equal(store.read('kept'), 'old');
});

test('all responses carry the era, refusals too, and a restoration raises it by one', async () => {
  const era = (await call('GET', '/kv-range?prefix=')).era;
  assert.ok(Number.isInteger(era));
  store.restore(0);
  const expected = [{ key: 'missing', revision: 9 }];
  const answers = [
    await call('GET', '/kv-range?prefix='),
    await call('POST', '/kv-txn', { expected, puts: [], remove: [] }),
    await call('POST', '/kv-lease', { ttl_ms: 1_000 }),
    await call('POST', '/kv-keep/99', {}),
    await call('DELETE', '/kv-lease-end/99'),
    await call('GET', '/unknown'),
    await watch(1),
    await watch(99),
  ];
  store.faults.add({ kind: 'refuse' });
  answers.push(await call('GET', '/kv-range?prefix='));
  assert.deepEqual(
    answers.map(({ status }) => status),
    [200, 412, 200, 404, 404, 404, 200, 410, 503],
  );
  for (const answer of answers) assert.equal(answer.era, era + 1);
});

test('a response that was delayed over a restoration carries the new era', async () => {
  const { era } = await watch(1);
  store.faults.add({ kind: 'delay', milliseconds: DELAY_MILLISECONDS });
  const delayed = call('GET', '/kv-range?prefix=');
  await sleep(DELAY_MILLISECONDS / 2);
  store.restore(0);
  assert.equal((await delayed).era, era + 1);
});

test('rejects a watch from a lost revision until that revision is given out again', async () => {
  const revision = await readRevision();
  const restore = await copyState();
  store.put('lost', 'new');
  restore();
  assert.equal((await watch(revision + 1)).status, 410);
  store.put('other', 'new');
  store.put('another', 'new');
  const { status, value } = await watch(revision + 1);
  assert.equal(status, 200);
  assert.deepEqual(
    value.events?.map(({ key }) => key),
    ['another'],
  );
});

test('cuts a watch that waits', async () => {
  const waiting = watch(await readRevision(), 5_000);
  const cut = assert.rejects(waiting);
  await sleep(DELAY_MILLISECONDS);
  store.restore(0);
  await cut;
});

test('forgets the leases since the copy, gives out their numbers again, and returns ended ones', async () => {
  const grant = () => call('POST', '/kv-lease', { ttl_ms: 10_000 });
  const { lease: old = 0 } = (await grant()).value;
  const puts = [{ key: 'held', value: '', lease: old }];
  await call('POST', '/kv-txn', { expected: [], puts, remove: [] });
  const restore = await copyState();
  const { lease: lost = 0 } = (await grant()).value;
  await call('DELETE', `/kv-lease-end/${old}`);
  assert.equal(store.read('held'), undefined);
  restore();
  assert.equal((await call('POST', `/kv-keep/${lost}`, {})).status, 404);
  assert.equal((await call('POST', `/kv-keep/${old}`, {})).status, 200);
  assert.equal(store.read('held'), '');
  assert.equal((await grant()).value.lease, lost);
  await call('DELETE', `/kv-lease-end/${old}`);
  assert.equal(store.read('held'), undefined);
});

test('a restored lease ends when nobody renews it', async () => {
  const grant = await call('POST', '/kv-lease', { ttl_ms: LEASE_MILLISECONDS });
  const puts = [{ key: 'held', value: '', lease: grant.value.lease ?? 0 }];
  await call('POST', '/kv-txn', { expected: [], puts, remove: [] });
  const restore = await copyState();
  await waitUntilRemoved('held');
  restore();
  assert.equal(store.read('held'), '');
  await waitUntilRemoved('held');
});

test('a copy from before the history was compacted serves watches from its own revision', async () => {
  const revision = await readRevision();
  const restore = await copyState();
  store.compactHistory();
  restore();
  assert.equal((await watch(revision)).status, 200);
});
