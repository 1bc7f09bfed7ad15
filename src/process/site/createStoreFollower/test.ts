import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Store, StoreResult, StoreSnapshot } from '../../../types/store/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import { createStoreFollower, type ChangeBatch, type FollowerRole } from './index.js';

const LOST = { kind: 'unknown', reason: 'timeout' } as const;

/** Value at which the node that follows fails. */
const FAILING_VALUE = 'fails';

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
  const restored: string[] = [];
  const reported: string[] = [];
  const logged: [string, object][] = [];
  const logger: SiteLogger = {
    log: (event, fields) => logged.push([event, fields]),
    logRequestEvents: () => undefined,
    countDroppedLines: () => 0,
  };
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
    logger,
    now: () => clock.time,
    countNodes: () => nodes.count,
    getRole: () => role.now,
    listReported: () => reported,
    onChanges: (batch) => forwarded.push(batch),
    onItem: (key, value, origin) => {
      if (value?.toString() === FAILING_VALUE) throw new Error('odd');
      if (origin === 'restored') restored.push(key);
      if (value) values.set(key, value.toString());
      else values.delete(key);
    },
  });
  return {
    clock,
    responses,
    watched,
    waits,
    values,
    follower,
    nodes,
    role,
    forwarded,
    restored,
    reported,
    logged,
  };
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

/** Guards against a dead connection that a long watch hides from a node. */
test('a watch lasts at most 1.2 seconds, however many nodes there are', async () => {
  const { responses, waits, follower, nodes } = createCase();
  responses.range.push(snapshot(5, { a: '1' }));
  responses.watch.push(snapshot(6, {}), snapshot(7, {}), snapshot(8, {}));
  await follower.step();
  for (const count of [6, 78, 350]) {
    nodes.count = count;
    await follower.step();
  }
  assert.equal(waits.length, 3);
  assert.ok(waits.every((wait) => wait <= 1_200));
});

test('a call that fails over a kept connection is repeated at once, and the store counts as reachable', async () => {
  const { responses, waits, follower, logged } = createCase();
  responses.range.push(snapshot(5, { a: '1' }));
  responses.watch.push({ ...LOST, isReused: true }, snapshot(6, {}));
  await follower.step();
  assert.equal(await follower.step(), 0);
  assert.equal(follower.isReachable(), true);
  await follower.step();
  assert.ok((waits[1] ?? 0) <= 50, waits.join());
  assert.deepEqual(
    logged.map(([event]) => event),
    ['store-reached', 'store-connection-lost'],
  );
});

/** Creates a follower of items whose kept connection has just failed. */
async function createWithLostConnection() {
  const created = createCase();
  created.responses.range.push(snapshot(5, { a: '1', b: '1', c: '1', d: '1' }));
  created.responses.watch.push({ ...LOST, isReused: true });
  await created.follower.step();
  await created.follower.step();
  return created;
}

/** Guards against endpoints that have left and get requests for seconds after a connection has gone silent. */
test('a removal is applied at once after a connection was lost', async () => {
  const { responses, values, follower } = await createWithLostConnection();
  responses.watch.push(snapshot(6, { a: undefined }));
  await follower.step();
  assert.deepEqual([...values.keys()], ['b', 'c', 'd']);
});

test('items of which most are removed after a connection was lost are retained', async () => {
  const { clock, responses, values, follower } = await createWithLostConnection();
  responses.watch.push(
    snapshot(7, { a: undefined, b: undefined, c: undefined }),
    snapshot(8, { b: '2' }),
  );
  await follower.step();
  assert.deepEqual([...values.keys()], ['a', 'b', 'c', 'd']);
  clock.time += 2_200;
  await follower.step();
  assert.deepEqual([...values.keys()], ['b', 'd']);
});

test('items of which most are missing from the history after a connection was lost are retained', async () => {
  const { clock, responses, values, follower } = await createWithLostConnection();
  responses.watch.push({ kind: 'rejected' }, snapshot(31, {}));
  responses.range.push(snapshot(30, { d: '2' }));
  await follower.step();
  await follower.step();
  assert.deepEqual([...values.keys()], ['a', 'b', 'c', 'd']);
  clock.time += 2_200;
  await follower.step();
  assert.deepEqual([...values], [['d', '2']]);
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

/** Revisions of a restored store begin above all earlier ones. */
const NEXT_ERA = 1_000;
const RESTORED = { kind: 'restored' as const };

function restoredSnapshot(revision: number, items: Readonly<Record<string, string>>) {
  const { value } = snapshot(NEXT_ERA + revision, items);
  return { kind: 'done' as const, value: { ...value, era: 1 } };
}

/** Creates a follower that has read two items, long enough ago that missing items are removed. */
async function createStableFollower() {
  const stable = createCase();
  stable.responses.range.push(snapshot(50, { a: '2', b: '1' }));
  await stable.follower.step();
  stable.clock.time += 60_000;
  assert.ok(stable.follower.isStable());
  return stable;
}

/** Guards against a node that goes on from a revision that the store has given out again. */
test('reads all items at once when a watch shows that the store was restored', async () => {
  const { responses, watched, values, follower, logged, restored } = await createStableFollower();
  responses.watch.push(RESTORED, snapshot(NEXT_ERA + 41, { a: '3' }));
  responses.range.push(restoredSnapshot(40, { a: '1', b: '1', c: '1' }));
  assert.equal(await follower.step(), 0);
  assert.equal(await follower.step(), 0);
  assert.deepEqual(Object.fromEntries(values), { a: '1', b: '1', c: '1' });
  assert.deepEqual(restored, ['a', 'b', 'c']);
  assert.equal(follower.getEra(), 1);
  await follower.step();
  assert.deepEqual(watched, [50, NEXT_ERA + 40]);
  assert.equal(values.get('a'), '3');
  assert.deepEqual(restored, ['a', 'b', 'c']);
  assert.deepEqual(
    logged.filter(([event]) => event !== 'store-reached'),
    [['store-restored', { revision: 50, newRevision: NEXT_ERA + 40 }]],
  );
});

test('retains items that a restored store lost until they may have been written again', async () => {
  const { clock, responses, values, follower } = await createStableFollower();
  responses.watch.push(RESTORED);
  responses.range.push(restoredSnapshot(40, {}));
  await follower.step();
  assert.equal(follower.isStable(), false);
  await follower.step();
  assert.equal(follower.isStable(), false);
  assert.deepEqual([...values.keys()], ['a', 'b']);
  clock.time += 2_000;
  responses.watch.push(snapshot(NEXT_ERA + 41, { a: '2' }));
  await follower.step();
  assert.deepEqual([...values.keys()], ['a', 'b']);
  clock.time += 300;
  responses.watch.push(snapshot(NEXT_ERA + 41, {}));
  await follower.step();
  assert.deepEqual([...values.keys()], ['a']);
  assert.equal(follower.isStable(), true);
});

test('retains lost items also when the store is found restored only by the read of all items', async () => {
  const { clock, responses, values, follower, logged } = await createStableFollower();
  responses.watch.push({ kind: 'rejected' });
  responses.range.push(restoredSnapshot(40, {}));
  await follower.step();
  await follower.step();
  assert.deepEqual([...values.keys()], ['a', 'b']);
  assert.ok(logged.some(([event]) => event === 'store-restored'));
  clock.time += 2_300;
  responses.watch.push(snapshot(NEXT_ERA + 41, {}));
  await follower.step();
  assert.equal(values.size, 0);
});

test('a restoration starts the time anew in which a deferred removal may be undone', async () => {
  const { clock, responses, values, follower } = await createStableFollower();
  await follower.step();
  clock.time += 1_000;
  responses.watch.push(snapshot(51, { a: undefined }));
  await follower.step();
  clock.time += 2_000;
  responses.watch.push(RESTORED);
  responses.range.push(restoredSnapshot(40, { b: '1' }));
  await follower.step();
  await follower.step();
  clock.time += 1_000;
  responses.watch.push(snapshot(NEXT_ERA + 41, {}));
  await follower.step();
  assert.deepEqual([...values.keys()], ['a', 'b']);
});

/** Guards against a watch that waits for seconds on a restored store without an event. */
test('the first watch after an outage, or after missed changes, ends soon', async () => {
  const { clock, responses, follower, waits, role } = await createStableFollower();
  await follower.step();
  clock.time += 200;
  responses.watch.push(snapshot(50, {}), snapshot(50, {}), snapshot(50, {}), snapshot(50, {}));
  await follower.step();
  await follower.step();
  const [, afterOutage = 0, next = 0] = waits;
  assert.ok(afterOutage <= 50 && next > 1_000, waits.join());
  role.now = 'throughOthers';
  follower.applyChanges(batch(NEXT_ERA + 40, NEXT_ERA + 41, { a: '3' }));
  await follower.step();
  assert.ok((waits[3] ?? 0) <= 50, waits.join());
});

test('a node that follows through others reads all items when they forward changes of a later era', async () => {
  const { responses, values, follower, watched } = await createListener();
  follower.applyChanges(batch(NEXT_ERA + 3, NEXT_ERA + 4, { a: '0' }));
  assert.equal(values.get('a'), '1');
  responses.watch.push(RESTORED);
  responses.range.push(restoredSnapshot(4, { a: '0', b: '1' }));
  await follower.step();
  await follower.step();
  assert.deepEqual(watched, [5]);
  assert.equal(values.get('a'), '0');
  assert.equal(follower.getRevision(), NEXT_ERA + 4);
  follower.applyChanges(batch(5, 30, { a: 'old' }));
  assert.equal(values.get('a'), '0');
});

test('a node that follows for others tells them of a restoration at once', async () => {
  const { responses, follower, role, forwarded } = await createStableFollower();
  role.now = 'forOthers';
  responses.watch.push(RESTORED);
  responses.range.push(restoredSnapshot(40, { a: '1' }));
  await follower.step();
  await follower.step();
  const revision = NEXT_ERA + 40;
  assert.deepEqual(forwarded, [{ after: revision, revision, items: [], isShortened: false }]);
});

test('a watch that was answered before a newer forwarded change does not undo it', async () => {
  const { responses, values, follower } = createCase();
  responses.range.push(snapshot(5, { a: '5' }));
  responses.watch.push(snapshot(7, { a: '7', b: '7' }));
  await follower.step();
  const watching = follower.step();
  follower.applyChanges(batch(5, 9, { a: '9' }));
  await watching;
  assert.deepEqual(Object.fromEntries(values), { a: '9', b: '7' });
  assert.equal(follower.getRevision(), 9);
});

test('removes what other nodes reported during an outage and the store does not contain', async () => {
  const { follower, responses, clock, values, reported } = createCase();
  values.set('gone', 'from a peer');
  reported.push('gone');
  await follower.step();
  responses.range.push({ kind: 'done', value: { items: [], revision: 9 } });
  await follower.step();
  assert.ok(values.has('gone'), 'its writer may write it again');
  clock.time += 2_300;
  responses.watch.push({ kind: 'done', value: { items: [], revision: 9 } });
  await follower.step();
  assert.ok(!values.has('gone'));
});

/** Guards against a node that stops following, or ends, because of what one item of the store holds. */
test('an item at which the node fails keeps it from no other one', async () => {
  const { responses, values, follower, logged } = createCase();
  const list = (revision: number) =>
    ['servers/i-1', 'servers/odd', 'servers/i-2'].map((key) => ({
      key,
      revision,
      value: Buffer.from(key.endsWith('odd') ? FAILING_VALUE : String(revision)),
    }));
  responses.range.push({ kind: 'done', value: { items: list(5), revision: 5 } });
  responses.watch.push({ kind: 'done', value: { items: list(6), revision: 6 } });
  await follower.step();
  assert.deepEqual([...values.values()], ['5', '5']);
  await follower.step();
  assert.deepEqual([...values.values()], ['6', '6']);
  assert.equal(follower.getRevision(), 6);
  follower.applyChanges({ after: 6, revision: 7, items: list(7), isShortened: false });
  assert.deepEqual([...values.values()], ['7', '7']);
  assert.equal(logged.filter(([event]) => event === 'item-failed').length, 3);
});
