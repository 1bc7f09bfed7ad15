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

/** Guards against a stream that takes the processor for minutes because it copies an event for each of its bytes. */
test('an event of 1 MB in chunks of one byte is split within five seconds, and unchanged', () => {
  const text = `id: 1\ndata: ${'x'.repeat(1_048_576)}\n\nid: 2\n\n`;
  const bytes = Buffer.from(text);
  const splitter = createEventSplitter();
  const startedAt = performance.now();
  const events = Array.from(bytes.keys()).flatMap((index) =>
    splitter.add(bytes.subarray(index, index + 1)),
  );
  const milliseconds = performance.now() - startedAt;
  assert.equal(Buffer.concat(events.map((event) => event.bytes)).toString(), text);
  assert.equal(events.length, 2);
  assert.ok(milliseconds < 5_000, `${milliseconds.toFixed(0)} ms`);
});

test('events stay as they are when more chunks follow', () => {
  const splitter = createEventSplitter();
  splitter.add(Buffer.from('id: 1\nda'));
  const [event] = splitter.add(Buffer.from('ta: a\n\nid: 2\n'));
  splitter.add(Buffer.from('data: bbbbbbbbbbbbbbbbb\n\nid: 3'));
  assert.equal(event?.bytes.toString(), 'id: 1\ndata: a\n\n');
});
