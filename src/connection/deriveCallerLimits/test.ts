/** Guards against default limits that ordinary callers of a small or a large node would meet. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deriveCallerLimits } from './index.js';

const MEGABYTE = 1_000_000;

for (const [megabytes, descriptors] of [
  [250, 4_100],
  [602, 8_192],
] as const) {
  test(`a node of ${megabytes} MB serves 1,800 connections, and bodies of 4 MiB`, () => {
    const limits = deriveCallerLimits({ memoryBytes: megabytes * MEGABYTE, descriptors });
    assert.equal(limits.connections, 1_800);
    assert.equal(limits.connectionsPerAddress, 1_800);
    assert.ok(limits.connectionBytes > 2 * 4_194_304);
    assert.ok(limits.memoryBytes / limits.connections > 32_768);
  });
}

test('keeps descriptors for everything else on a small process', () => {
  const { connections } = deriveCallerLimits({ memoryBytes: 100 * MEGABYTE, descriptors: 256 });
  assert.ok(2 * connections <= 256 - 48 && connections > 64, String(connections));
});

test('a setting replaces the derived limit', () => {
  const resources = { memoryBytes: 100 * MEGABYTE, descriptors: 256 };
  const limits = deriveCallerLimits(resources, { connections: 7, memoryBytes: 1_000 });
  assert.deepEqual([limits.connections, limits.connectionsPerAddress], [7, 7]);
  assert.deepEqual([limits.memoryBytes, limits.connectionBytes], [1_000, 250]);
});
