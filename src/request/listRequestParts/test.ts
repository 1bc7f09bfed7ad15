import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAXIMUM_PART_LENGTH, MAXIMUM_PARTS } from '../limitPromptParts/index.js';
import { listRequestParts, type ListRequestPartsOptions } from './index.js';

const FORWARDED = { method: 'GET', url: '/look/a', body: undefined };
const REQUEST = { service: 'booking', account: 'one', forwarded: FORWARDED, promptParts: [] };

function list(changes: Partial<ListRequestPartsOptions> = {}): readonly string[] {
  return listRequestParts({ ...REQUEST, ...changes });
}

const OTHER_CALLS = [
  list({ forwarded: { ...FORWARDED, url: '/look/b' } }),
  list({ forwarded: { ...FORWARDED, body: Buffer.from('x') } }),
  list({ service: 'other' }),
];

test('recognizes a plain request by its service, method, path and body, and by its caller', () => {
  assert.deepEqual(list(), list());
  assert.equal(new Set([list(), ...OTHER_CALLS].flat()).size, 8);
  const [call, identity] = list({ account: 'two' });
  assert.equal(call, list()[0]);
  assert.notEqual(identity, list()[1]);
});

test('recognizes each request of a session, whose last part its prompts share', () => {
  const promptParts = ['head', 'session'];
  const body = Buffer.from('second turn');
  const first = list({ promptParts });
  const second = list({ promptParts, forwarded: { ...FORWARDED, body } });
  assert.deepEqual(first.slice(0, -1), promptParts);
  assert.deepEqual(second.slice(0, -1), promptParts);
  assert.notEqual(first.at(-1), second.at(-1));
  assert.notEqual(first.at(-1), list({ promptParts: ['head', 'other'] }).at(-1));
});

test('keeps the parts of a prompt within bounds, with the last one', () => {
  const promptParts = Array.from({ length: 100 }, (_, index) => `${index}${'x'.repeat(index)}`);
  const parts = list({ promptParts });
  assert.equal(parts.length, MAXIMUM_PARTS);
  assert.ok(parts.every(({ length }) => length <= MAXIMUM_PART_LENGTH));
  assert.equal(new Set(parts).size, parts.length);
  const [last] = list({ promptParts: promptParts.slice(-1) });
  assert.equal(parts.at(-2), last);
});
