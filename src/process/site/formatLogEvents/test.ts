import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { formatLogEvents } from './index.js';

test('the page of log events is the one that the table prints', () => {
  assert.equal(readFileSync('docs/LOG-EVENTS.md', 'utf8'), formatLogEvents());
});
