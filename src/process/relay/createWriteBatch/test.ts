import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createWriteBatch } from './index.js';

/** Resolves when the pieces of this turn have been written. */
function endTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createCase() {
  const written: string[] = [];
  const callbacks: (() => void)[] = [];
  const batch = createWriteBatch((bytes, onWritten) => {
    written.push(bytes.toString());
    callbacks.push(onWritten);
  });
  const add = (...texts: string[]): void => {
    for (const text of texts) batch.add(Buffer.from(text));
  };
  return { batch, written, callbacks, add };
}

test('writes the pieces of one turn together', async () => {
  const { written, add } = createCase();
  add('a', 'b', 'c');
  assert.deepEqual(written, []);
  await endTurn();
  assert.deepEqual(written, ['abc']);
});

test('collects pieces while a write is in progress', async () => {
  const { batch, written, callbacks, add } = createCase();
  add('a');
  await endTurn();
  for (let piece = 0; piece < 1_000; piece += 1) add('b');
  await endTurn();
  assert.deepEqual(written, ['a']);
  assert.equal(batch.countBytes(), 1_000);
  callbacks[0]?.();
  await endTurn();
  assert.deepEqual(written, ['a', 'b'.repeat(1_000)]);
  assert.equal(batch.countBytes(), 0);
});

test('calls back when everything has been written', async () => {
  const { batch, callbacks, add } = createCase();
  let calls = 0;
  add('a');
  await endTurn();
  add('b');
  batch.onceWritten(() => (calls += 1));
  callbacks[0]?.();
  await endTurn();
  assert.equal(calls, 0);
  callbacks[1]?.();
  assert.equal(calls, 1);
});

test('a flush writes at once, also while a write is in progress', async () => {
  const { batch, written, add } = createCase();
  add('a');
  await endTurn();
  add('b', 'c');
  batch.flush();
  assert.deepEqual(written, ['a', 'bc']);
  batch.flush();
  assert.deepEqual(written, ['a', 'bc']);
});
