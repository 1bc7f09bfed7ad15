import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { formatLogEvents } from './index.js';

test('docs/LOG-EVENTS.md is up to date with the table of log events', () => {
  assert.equal(readFileSync('docs/LOG-EVENTS.md', 'utf8'), formatLogEvents());
});
