import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEventSplitter } from './index.js';

test('returns complete and unchanged events for a stream cut at any byte', () => {
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

test('does not return an incomplete event', () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.add(Buffer.from('id: 1\ndata: a\n')).length, 0);
  assert.ok(splitter.countPending() > 0);
});

test('returns no number for an event without one', () => {
  assert.equal(createEventSplitter().add(Buffer.from('data: id: 9\n\n'))[0]?.id, undefined);
});

test('an event that contains the head of a response has no number', () => {
  const [event] = createEventSplitter().add(Buffer.from('HTTP/1.1 500 Failed\r\n\r\nid: 3\n\n'));
  assert.equal(event?.id, undefined);
  const [data] = createEventSplitter().add(Buffer.from('id: 3\ndata: HTTP/1.1 500\n\n'));
  assert.equal(data?.id, 3);
});
