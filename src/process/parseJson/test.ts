import assert from 'node:assert/strict';
import test from 'node:test';
import { parseJson } from './index.js';

test('malformed text gives undefined', () => {
  assert.deepEqual(parseJson('{"a":1}'), { a: 1 });
  assert.equal(parseJson('{"a":'), undefined);
});
