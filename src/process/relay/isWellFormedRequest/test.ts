import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isWellFormedRequest } from './index.js';

test('a path with a character that no path contains is not well-formed', () => {
  for (const url of ['/a\tb', '/a\fb', '/a b', '/\u0000'])
    assert.equal(isWellFormedRequest({ url, rawHeaders: [] }), false);
});

test('a header whose name is no token is not well-formed, whatever the values are', () => {
  assert.equal(isWellFormedRequest({ url: '/', rawHeaders: ['Odd name', '1'] }), false);
  assert.equal(isWellFormedRequest({ url: '/', rawHeaders: ['Host', 'a', '', 'b'] }), false);
  assert.equal(isWellFormedRequest({ url: '/a%20b?c=d', rawHeaders: ['Host', 'a b'] }), true);
});
