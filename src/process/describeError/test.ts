import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeError } from './index.js';

test('describes an error by its stack, and any other value as text', () => {
  assert.match(describeError(new Error('broken')), /broken[^]*describeError[^]*test\.ts/);
  assert.equal(describeError('gone'), 'gone');
  assert.equal(describeError(undefined), 'undefined');
});
