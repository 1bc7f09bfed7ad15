import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeFault } from './index.js';

test('an error is told with the place where it arose, and any other value as text', () => {
  assert.match(describeFault(new Error('broken')), /broken[^]*describeFault[^]*test\.ts/);
  assert.equal(describeFault('gone'), 'gone');
  assert.equal(describeFault(undefined), 'undefined');
});
