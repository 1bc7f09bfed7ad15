import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NOOP_LOGGER } from '../../../../tests/support/site/index.js';
import type { Store, StoreResult, StoreSnapshot } from '../../../types/store/index.js';
import { createStoreFollower, type ChangeBatch, type FollowerRole } from './index.js';

const LOST: StoreResult<never> = { kind: 'unknown', reason: 'timeout' };

/** Creates a follower of a store whose next responses the test sets. */
function createCase() {
  const clock = { time: 1_000 };
  const responses: { range: StoreResult<StoreSnapshot>[]; watch: StoreResult<StoreSnapshot>[] } = {
    range: [],
    watch: [],
  };
  const watched: number[] = [];
  const waits: number[] = [];
  const nodes = { count: 6 };
  const role: { now: FollowerRole } = { now: 'alone' };
  const forwarded: ChangeBatch[] = [];
  const values = new Map<string, string>();
  const fail = (): Promise<StoreResult<never>> => Promise.resolve(LOST);
  const store: Store = {
    range: () => Promise.resolve(responses.range.shift() ?? LOST),
    watch: ({ after, waitMilliseconds }) => {
      watched.push(after);
      waits.push(waitMilliseconds);
      return Promise.resolve(responses.watch.shift() ?? LOST);
    },
    transact: fail,
    grantLease: fail,
    renewLease: fail,
    revokeLease: fail,
    close: () => undefined,
  };
  const follower = createStoreFollower({
    store,
    logger: NOOP_LOGGER,
    now: () => clock.time,
    countNodes: () => nodes.count,
    getRole: () => role.now,
    onChanges: (batch) => forwarded.push(batch),
    onItem: (key, value) => {
      if (value) values.set(key, value.toString());
      else values.delete(key);
    },
  });
  return { clock, responses, watched, waits, values, follower, nodes, role, forwarded };
}

function snapshot(revision: number, items: Readonly<Record<string, string | undefined>>) {
  const value: StoreSnapshot = {
    revision,
    items: Object.entries(items).map(([key, text]) => ({
      key,
      revision,
      value: text === undefined ? undefined : Buffer.from(text),
    })),
  };
  return { kind: 'done' as const, value };
}

test('reads all items once and then watches from that revision on', async () => {
  const { responses, watched, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '1', b: '1' }));
  responses.watch.push(snapshot(7, { b: '2' }), snapshot(9, { a: undefined }));
  for (let round = 0; round < 3; round += 1) await follower.step();
  assert.deepEqual(watched, [5, 7]);
  assert.deepEqual([...values], [['b', '2']]);
  assert.equal(follower.getRevision(), 9);
});

test('reads all items again when the history has been compacted', async () => {
  const { responses, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '1', b: '1' }), snapshot(30, { b: '3' }));
  responses.watch.push({ kind: 'rejected' });
  for (let round = 0; round < 3; round += 1) await follower.step();
  assert.deepEqual([...values], [['b', '3']]);
});

test('removes entries that expired in an outage two seconds after its end', async () => {
  const { clock, responses, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '1', b: '1' }));
  await follower.step();
  await follower.step();
  assert.equal(follower.isReachable(), false);
  clock.time += 5_000;
  responses.watch.push(snapshot(9, { a: undefined, b: undefined }));
  await follower.step();
  assert.deepEqual([...values.keys()], ['a', 'b']);
  clock.time += 1_000;
  responses.watch.push(snapshot(10, { a: '2' }));
  await follower.step();
  clock.time += 1_500;
  responses.watch.push(snapshot(10, {}));
  await follower.step();
  assert.deepEqual([...values], [['a', '2']]);
});

test('applies a removal at once without an outage', async () => {
  const { responses, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '1' }));
  responses.watch.push(snapshot(6, { a: undefined }));
  await follower.step();
  await follower.step();
  assert.equal(values.size, 0);
});

test('retains known items while the store is down, and tries again after a pause', async () => {
  const { responses, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '1' }));
  await follower.step();
  assert.ok((await follower.step()) > 0);
  assert.deepEqual([...values.keys()], ['a']);
});

test('applies a deferred removal at once when a peer confirms it, and no other removal', async () => {
  const { clock, responses, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '1', b: '1' }));
  await follower.step();
  assert.equal(follower.isStable(), false);
  await follower.step();
  clock.time += 5_000;
  responses.watch.push(snapshot(9, { a: undefined }));
  await follower.step();
  follower.confirmRemoval('b');
  assert.deepEqual([...values.keys()], ['a', 'b']);
  follower.confirmRemoval('a');
  assert.deepEqual([...values.keys()], ['b']);
  clock.time += 3_000;
  assert.equal(follower.isStable(), true);
});

test('many nodes batch changes for longer, and call an unreachable store less often', async () => {
  const { responses, follower, nodes } = createCase();
  responses.range.push(snapshot(5, { a: '1' }));
  await follower.step();
  responses.watch.push(snapshot(6, { a: '2' }), snapshot(7, { a: '3' }));
  const few = await follower.step();
  nodes.count = 350;
  const many = await follower.step();
  assert.ok(few < many && many <= 600, `${few} and ${many} ms`);
  const pauses = [await follower.step(), await follower.step(), await follower.step()];
  assert.deepEqual(pauses, [200, 400, 800]);
  assert.equal(await follower.step(), 1_600);
  assert.equal(await follower.step(), 2_000);
});

test('watches of many nodes last longer, but at most six seconds', async () => {
  const { responses, waits, follower, nodes } = createCase();
  responses.range.push(snapshot(5, { a: '1' }));
  responses.watch.push(snapshot(6, {}), snapshot(7, {}), snapshot(8, {}));
  await follower.step();
  for (const count of [6, 78, 350]) {
    nodes.count = count;
    await follower.step();
  }
  const [few = 0, many = 0, most = 0] = waits;
  assert.ok(few <= 2_500);
  assert.ok(many > 2 * few);
  assert.ok(most <= 6_000);
});

function batch(
  after: number,
  revision: number,
  items: Readonly<Record<string, string | undefined>>,
  isShortened = false,
): ChangeBatch {
  return { after, revision, items: snapshot(revision, items).value.items, isShortened };
}

/** Creates a follower through others that has read revision 5. */
async function createListener() {
  const listener = createCase();
  listener.role.now = 'throughOthers';
  listener.responses.range.push(snapshot(5, { a: '1', b: '1' }));
  await listener.follower.step();
  return listener;
}

test('a node that follows for others forwards changes, and also results without changes', async () => {
  const { responses, follower, role, forwarded, waits } = createCase();
  role.now = 'forOthers';
  responses.range.push(snapshot(5, { a: '1' }));
  responses.watch.push(snapshot(7, { a: '2' }), snapshot(7, {}));
  for (let round = 0; round < 3; round += 1) await follower.step();
  assert.deepEqual(
    forwarded.map(({ after, revision, items }) => [after, revision, items.length]),
    [
      [5, 7, 1],
      [7, 7, 0],
    ],
  );
  assert.ok(waits.every((wait) => wait <= 1_000));
});

test('a node that follows through others makes no call while they forward changes', async () => {
  const { clock, follower, values, watched } = await createListener();
  for (let round = 0; round < 30; round += 1) {
    clock.time += 1_000;
    follower.applyChanges(batch(5 + round, 6 + round, { a: `${round}` }));
    await follower.step();
  }
  assert.deepEqual(watched, []);
  assert.equal(values.get('a'), '29');
  assert.equal(follower.getRevision(), 35);
});

test('a node without forwarded changes for two seconds watches by itself', async () => {
  const { clock, follower, values, watched, responses } = await createListener();
  for (let waited = 0; waited < 2_000 && watched.length === 0;) {
    const pause = await follower.step();
    clock.time += pause;
    waited += pause;
    if (waited >= 1_700) responses.watch.push(snapshot(6, { b: '2' }));
  }
  assert.deepEqual(watched, [5]);
  assert.equal(values.get('b'), '2');
});

test('fills a gap in forwarded changes by a watch at once', async () => {
  const { follower, values, watched, responses } = await createListener();
  follower.applyChanges(batch(8, 9, { a: '9' }));
  assert.equal(values.get('a'), '1');
  responses.watch.push(snapshot(9, { a: '9', b: undefined }));
  await follower.step();
  assert.deepEqual(watched, [5]);
  assert.deepEqual([...values], [['a', '9']]);
});

test('applies repeated or overlapping changes once and never reverts to older values', async () => {
  const { follower, values } = await createListener();
  follower.applyChanges(batch(5, 8, { a: '8' }));
  follower.applyChanges(batch(5, 6, { a: '6' }));
  assert.equal(values.get('a'), '8');
  follower.applyChanges({
    after: 6,
    revision: 10,
    isShortened: false,
    items: [
      { key: 'a', revision: 7, value: Buffer.from('7') },
      { key: 'b', revision: 10, value: Buffer.from('10') },
    ],
  });
  assert.deepEqual(
    [...values],
    [
      ['a', '8'],
      ['b', '10'],
    ],
  );
});

test('reads omitted items of a shortened batch from the store unless they arrive another way', async () => {
  const { clock, follower, watched, responses } = await createListener();
  follower.applyChanges(batch(5, 7, {}, true));
  for (let round = 0; round < 4; round += 1) {
    clock.time += 400;
    follower.applyChanges(batch(7, 7, {}));
    responses.watch.push(snapshot(7, { c: 'long' }));
    await follower.step();
  }
  assert.deepEqual(watched, [5]);
  follower.applyChanges(batch(7, 9, {}, true));
  follower.clearPendingRead();
  clock.time += 1_600;
  follower.applyChanges(batch(9, 9, {}));
  await follower.step();
  assert.deepEqual(watched, [5]);
});

test('defers a forwarded removal after an outage by two seconds as well', async () => {
  const { clock, follower, values } = await createListener();
  clock.time += 2_000;
  await follower.step();
  assert.equal(follower.isReachable(), false);
  clock.time += 3_000;
  follower.applyChanges(batch(5, 9, { a: undefined }));
  assert.equal(follower.isReachable(), true);
  assert.ok(values.has('a'));
  clock.time += 2_300;
  follower.applyChanges(batch(9, 9, {}));
  await follower.step();
  assert.ok(!values.has('a'));
});
