import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SILENT_LOGGER } from '../../../../tests/support/site/index.js';
import type { Store, StoreResult, StoreSnapshot } from '../../../types/store/index.js';
import { createStoreFollower, type ChangeBatch, type FollowerRole } from './index.js';

const LOST: StoreResult<never> = { kind: 'unknown', reason: 'timeout' };

/** A follower over a store whose next answers the test gives. */
function createCase() {
  const clock = { time: 1_000 };
  const answers: { range: StoreResult<StoreSnapshot>[]; watch: StoreResult<StoreSnapshot>[] } = {
    range: [],
    watch: [],
  };
  const watched: number[] = [];
  const waits: number[] = [];
  const nodes = { count: 6 };
  const role: { now: FollowerRole } = { now: 'alone' };
  const passedOn: ChangeBatch[] = [];
  const held = new Map<string, string>();
  const refuse = (): Promise<StoreResult<never>> => Promise.resolve(LOST);
  const store: Store = {
    range: () => Promise.resolve(answers.range.shift() ?? LOST),
    watch: ({ after, waitMilliseconds }) => {
      watched.push(after);
      waits.push(waitMilliseconds);
      return Promise.resolve(answers.watch.shift() ?? LOST);
    },
    transact: refuse,
    grantLease: refuse,
    renewLease: refuse,
    revokeLease: refuse,
    close: () => undefined,
  };
  const follower = createStoreFollower({
    store,
    logger: SILENT_LOGGER,
    now: () => clock.time,
    countNodes: () => nodes.count,
    getRole: () => role.now,
    onChanges: (batch) => passedOn.push(batch),
    onItem: (key, value) => {
      if (value) held.set(key, value.toString());
      else held.delete(key);
    },
  });
  return { clock, answers, watched, waits, held, follower, nodes, role, passedOn };
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

test('everything is read once and then watched from that revision on', async () => {
  const { answers, watched, held, follower } = createCase();
  answers.range.push(snapshot(5, { a: '1', b: '1' }));
  answers.watch.push(snapshot(7, { b: '2' }), snapshot(9, { a: undefined }));
  for (let round = 0; round < 3; round += 1) await follower.step();
  assert.deepEqual(watched, [5, 7]);
  assert.deepEqual([...held], [['b', '2']]);
  assert.equal(follower.getRevision(), 9);
});

test('a history that is gone is replaced by reading everything again', async () => {
  const { answers, held, follower } = createCase();
  answers.range.push(snapshot(5, { a: '1', b: '1' }), snapshot(30, { b: '3' }));
  answers.watch.push({ kind: 'rejected' });
  for (let round = 0; round < 3; round += 1) await follower.step();
  assert.deepEqual([...held], [['b', '3']]);
});

test('entries that lapsed in an outage get two seconds after its end, and are then gone', async () => {
  const { clock, answers, held, follower } = createCase();
  answers.range.push(snapshot(5, { a: '1', b: '1' }));
  await follower.step();
  await follower.step();
  assert.equal(follower.isReachable(), false);
  clock.time += 5_000;
  answers.watch.push(snapshot(9, { a: undefined, b: undefined }));
  await follower.step();
  assert.deepEqual([...held.keys()], ['a', 'b']);
  clock.time += 1_000;
  answers.watch.push(snapshot(10, { a: '2' }));
  await follower.step();
  clock.time += 1_500;
  answers.watch.push(snapshot(10, {}));
  await follower.step();
  assert.deepEqual([...held], [['a', '2']]);
});

test('without an outage a removal counts at once', async () => {
  const { answers, held, follower } = createCase();
  answers.range.push(snapshot(5, { a: '1' }));
  answers.watch.push(snapshot(6, { a: undefined }));
  await follower.step();
  await follower.step();
  assert.equal(held.size, 0);
});

test('a store that is down leaves what was known, and is tried again after a pause', async () => {
  const { answers, held, follower } = createCase();
  answers.range.push(snapshot(5, { a: '1' }));
  await follower.step();
  assert.ok((await follower.step()) > 0);
  assert.deepEqual([...held.keys()], ['a']);
});

test('a removal kept after an outage counts at once when a peer saw it, and no other one does', async () => {
  const { clock, answers, held, follower } = createCase();
  answers.range.push(snapshot(5, { a: '1', b: '1' }));
  await follower.step();
  assert.equal(follower.isStable(), false);
  await follower.step();
  clock.time += 5_000;
  answers.watch.push(snapshot(9, { a: undefined }));
  await follower.step();
  follower.confirmRemoval('b');
  assert.deepEqual([...held.keys()], ['a', 'b']);
  follower.confirmRemoval('a');
  assert.deepEqual([...held.keys()], ['b']);
  clock.time += 3_000;
  assert.equal(follower.isStable(), true);
});

test('many nodes let changes gather for longer, and a store that stays away is asked less often', async () => {
  const { answers, follower, nodes } = createCase();
  answers.range.push(snapshot(5, { a: '1' }));
  await follower.step();
  answers.watch.push(snapshot(6, { a: '2' }), snapshot(7, { a: '3' }));
  const few = await follower.step();
  nodes.count = 350;
  const many = await follower.step();
  assert.ok(few < many && many <= 600, `${few} and ${many} ms`);
  const pauses = [await follower.step(), await follower.step(), await follower.step()];
  assert.deepEqual(pauses, [200, 400, 800]);
  assert.equal(await follower.step(), 1_600);
  assert.equal(await follower.step(), 2_000);
});

test('watches of many nodes last longer, yet end before a silent connection hides changes for long', async () => {
  const { answers, waits, follower, nodes } = createCase();
  answers.range.push(snapshot(5, { a: '1' }));
  answers.watch.push(snapshot(6, {}), snapshot(7, {}), snapshot(8, {}));
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

/** A follower through others that has read revision 5. */
async function createListener() {
  const listener = createCase();
  listener.role.now = 'throughOthers';
  listener.answers.range.push(snapshot(5, { a: '1', b: '1' }));
  await listener.follower.step();
  return listener;
}

test('a node that follows for others passes on what it reads, and that nothing has changed', async () => {
  const { answers, follower, role, passedOn, waits } = createCase();
  role.now = 'forOthers';
  answers.range.push(snapshot(5, { a: '1' }));
  answers.watch.push(snapshot(7, { a: '2' }), snapshot(7, {}));
  for (let round = 0; round < 3; round += 1) await follower.step();
  assert.deepEqual(
    passedOn.map(({ after, revision, items }) => [after, revision, items.length]),
    [
      [5, 7, 1],
      [7, 7, 0],
    ],
  );
  assert.ok(waits.every((wait) => wait <= 1_000));
});

test('a node that follows through others makes no call while they tell', async () => {
  const { clock, follower, held, watched } = await createListener();
  for (let round = 0; round < 30; round += 1) {
    clock.time += 1_000;
    follower.applyChanges(batch(5 + round, 6 + round, { a: `${round}` }));
    await follower.step();
  }
  assert.deepEqual(watched, []);
  assert.equal(held.get('a'), '29');
  assert.equal(follower.getRevision(), 35);
});

test('a node that hears of no follower for two seconds watches by itself', async () => {
  const { clock, follower, held, watched, answers } = await createListener();
  for (let waited = 0; waited < 2_000 && watched.length === 0;) {
    const pause = await follower.step();
    clock.time += pause;
    waited += pause;
    if (waited >= 1_700) answers.watch.push(snapshot(6, { b: '2' }));
  }
  assert.deepEqual(watched, [5]);
  assert.equal(held.get('b'), '2');
});

test('a gap in what others pass on is filled by a watch at once', async () => {
  const { follower, held, watched, answers } = await createListener();
  follower.applyChanges(batch(8, 9, { a: '9' }));
  assert.equal(held.get('a'), '1');
  answers.watch.push(snapshot(9, { a: '9', b: undefined }));
  await follower.step();
  assert.deepEqual(watched, [5]);
  assert.deepEqual([...held], [['a', '9']]);
});

test('changes that were passed on before, or overlap, are taken once and never go back', async () => {
  const { follower, held } = await createListener();
  follower.applyChanges(batch(5, 8, { a: '8' }));
  follower.applyChanges(batch(5, 6, { a: '6' }));
  assert.equal(held.get('a'), '8');
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
    [...held],
    [
      ['a', '8'],
      ['b', '10'],
    ],
  );
});

test('what a shortened batch left out is read from the store if it does not come another way', async () => {
  const { clock, follower, watched, answers } = await createListener();
  follower.applyChanges(batch(5, 7, {}, true));
  for (let round = 0; round < 4; round += 1) {
    clock.time += 400;
    follower.applyChanges(batch(7, 7, {}));
    answers.watch.push(snapshot(7, { c: 'long' }));
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

test('a removal that others pass on after an outage gets its two seconds, too', async () => {
  const { clock, follower, held } = await createListener();
  clock.time += 2_000;
  await follower.step();
  assert.equal(follower.isReachable(), false);
  clock.time += 3_000;
  follower.applyChanges(batch(5, 9, { a: undefined }));
  assert.equal(follower.isReachable(), true);
  assert.ok(held.has('a'));
  clock.time += 2_300;
  follower.applyChanges(batch(9, 9, {}));
  await follower.step();
  assert.ok(!held.has('a'));
});
