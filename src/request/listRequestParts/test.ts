import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listRequestParts, MAXIMUM_PART_LENGTH, MAXIMUM_PARTS } from './index.js';

const FORWARDED = { method: 'GET', url: '/look/a', body: undefined };

test('recognizes a plain request by its service, method, path and body', () => {
  const list = (changes: object = {}, service = 'booking'): readonly string[] =>
    listRequestParts({ service, forwarded: { ...FORWARDED, ...changes }, promptParts: [] });
  assert.deepEqual(list(), list());
  const others = [list({ url: '/look/b' }), list({ body: Buffer.from('x') }), list({}, 'other')];
  assert.equal(new Set([list(), ...others].flat()).size, 4);
});

test('keeps the parts of a prompt within bounds, with the last one', () => {
  const promptParts = Array.from({ length: 100 }, (_, index) => `${index}${'x'.repeat(index)}`);
  const parts = listRequestParts({ service: 'assistant', forwarded: FORWARDED, promptParts });
  assert.equal(parts.length, MAXIMUM_PARTS);
  assert.ok(parts.every(({ length }) => length <= MAXIMUM_PART_LENGTH));
  assert.equal(new Set(parts).size, parts.length);
  const own = promptParts.slice(-1);
  const [last] = listRequestParts({ service: 'assistant', forwarded: FORWARDED, promptParts: own });
  assert.equal(parts.at(-1), last);
});
