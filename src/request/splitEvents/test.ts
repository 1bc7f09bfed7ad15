import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEventSplitter } from './index.js';

test('events cut at any byte come out whole and unchanged', () => {
  const text = 'id: 1\ndata: a\n\nid:2\ndata: ü\n\nweight-versions: 3\nid: 3\ndata: c\n\n';
  const bytes = Buffer.from(text);
  for (let cut = 0; cut <= bytes.length; cut += 1) {
    const splitter = createEventSplitter();
    const events = [...splitter.add(bytes.subarray(0, cut)), ...splitter.add(bytes.subarray(cut))];
    assert.deepEqual(
      events.map(({ id }) => id),
      [1, 2, 3],
    );
    assert.equal(Buffer.concat(events.map((event) => event.bytes)).toString(), text);
    assert.equal(splitter.countPending(), 0);
  }
});

test('an event that stops in the middle is not given out', () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.add(Buffer.from('id: 1\ndata: a\n')).length, 0);
  assert.ok(splitter.countPending() > 0);
});

test('an event without a number has none', () => {
  assert.equal(createEventSplitter().add(Buffer.from('data: id: 9\n\n'))[0]?.id, undefined);
});
