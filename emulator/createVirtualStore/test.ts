import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Store, StoreResult } from '../../src/types/store/index.js';
import { createVirtualTime } from '../createVirtualTime/index.js';
import { createVirtualStore, type VirtualStore } from './index.js';

/** Writes an item, waits, writes it again, and restores the state between the two; then runs an action. */
async function actAfterRestoration<Value>(
  hidesEra: boolean,
  act: (store: Store, lostRevision: number, virtual: VirtualStore) => Promise<Value>,
): Promise<Value> {
  const time = createVirtualTime();
  const virtual = createVirtualStore(time, { hidesEra });
  const store = virtual.connect('node-0');
  let result: Value | undefined;
  const play = async (): Promise<void> => {
    virtual.put('key', 'old');
    await time.delay(1_000, undefined);
    virtual.put('key', 'new');
    const before = await store.range('');
    assert.ok(before.kind === 'done');
    virtual.restore(500);
    result = await act(store, before.value.revision, virtual);
  };
  const played = play();
  await time.run(10_000);
  await played;
  assert.ok(result !== undefined);
  return result;
}

function watch(store: Store, after: number): ReturnType<Store['watch']> {
  return store.watch({ prefix: '', after, waitMilliseconds: 100 });
}

test('restores the older items at revisions above all before', async () => {
  const { items, revision, lost } = await actAfterRestoration(false, async (store, lost) => {
    const after = await store.range('');
    assert.ok(after.kind === 'done');
    return { ...after.value, lost };
  });
  assert.deepEqual(
    items.map(({ value }) => value?.toString()),
    ['old'],
  );
  assert.ok(revision > lost);
});

test('reports a watch, a write and a lease of an earlier era as restored', async () => {
  const kinds = await actAfterRestoration(false, async (store, lost) => {
    const expected = [{ key: 'key', revision: lost }];
    const results: StoreResult<unknown>[] = [
      await watch(store, lost),
      await store.transact({ expected, puts: [], remove: [] }),
      await store.renewLease(1),
    ];
    return results.map(({ kind }) => kind);
  });
  assert.deepEqual(kinds, ['restored', 'restored', 'restored']);
});

test('without the era, rejects a watch from a lost revision until that revision is given out again', async () => {
  const kinds = await actAfterRestoration(true, async (store, lost, virtual) => {
    const { kind: before } = await watch(store, lost);
    virtual.put('other', 'value');
    const { kind: after } = await watch(store, lost);
    return [before, after];
  });
  assert.deepEqual(kinds, ['rejected', 'done']);
});

test('cuts a watch that waits when the store is restored', async () => {
  const { kind } = await actAfterRestoration(true, async (store, lost, virtual) => {
    virtual.put('other', 'value');
    const waiting = watch(store, lost);
    virtual.restore(0);
    return waiting;
  });
  assert.equal(kind, 'unknown');
});
