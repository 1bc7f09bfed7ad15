import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeFault } from './index.js';

test('describes an error by its stack, and any other value as text', () => {
  assert.match(describeFault(new Error('broken')), /broken[^]*describeFault[^]*test\.ts/);
  assert.equal(describeFault('gone'), 'gone');
  assert.equal(describeFault(undefined), 'undefined');
});
