import assert from 'node:assert/strict';
import test from 'node:test';
import { parseJson } from './index.js';

test('returns undefined for malformed text', () => {
  assert.deepEqual(parseJson('{"a":1}'), { a: 1 });
  assert.equal(parseJson('{"a":'), undefined);
});
