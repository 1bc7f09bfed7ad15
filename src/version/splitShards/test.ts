import assert from 'node:assert/strict';
import test from 'node:test';
import type { Configuration } from '../../types/configuration/index.js';
import { splitShards } from './index.js';

function createAccounts(count: number): Configuration {
  const objects = Array.from({ length: count }, (_, index) => ({
    kind: 'account' as const,
    name: `account-${index.toString()}`,
    labels: { class: 'kiosk', 'key-sha256': '0'.repeat(64) },
    changedAt: 1,
  }));
  return { revision: 1, objects, selectors: [] };
}

test('splits 24,000 accounts below the size limit and rewrites one shard per change', () => {
  const configuration = createAccounts(24_000);
  const shards = splitShards(configuration);
  assert.ok(shards.every(({ text }) => Buffer.byteLength(text) <= 262_144));
  const [first, ...rest] = configuration.objects;
  assert.ok(first);
  const changed = { ...first, labels: { ...first.labels, class: 'batch' } };
  const next = splitShards({ ...configuration, objects: [changed, ...rest] });
  const digests = new Set(shards.map(({ digest }) => digest));
  assert.equal(next.filter(({ digest }) => !digests.has(digest)).length, 1);
});
