/** Guards against limits derived from more than the process or its settings allow. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readProcessResources } from './index.js';

test('returns positive finite limits, never above the stated ones', () => {
  const own = readProcessResources();
  assert.ok(own.memoryBytes > 0 && Number.isFinite(own.memoryBytes));
  assert.ok(own.descriptors > 0 && Number.isFinite(own.descriptors));
  const stated = { memoryBytes: 1_000, descriptors: 10 };
  assert.deepEqual(readProcessResources(stated), stated);
});
