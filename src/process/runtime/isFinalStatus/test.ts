import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isFinalStatus } from './index.js';

test('the classes 2xx to 5xx are final', () => {
  for (const status of [200, 299, 404, 500, 599]) assert.equal(isFinalStatus(status), true);
});

test('interim statuses, and those that HTTP does not define, are not final', () => {
  for (const status of [undefined, 0, 1, 99, 100, 101, 199, 600, 999])
    assert.equal(isFinalStatus(status), false);
});
