import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { StoreItem } from '../../../types/store/index.js';
import { splitChanges } from './index.js';

const SEED = 41;

function createItem(revision: number, bytes: number): StoreItem {
  return { key: `key-${revision}`, revision, value: Buffer.alloc(bytes, 'x') };
}

test('splits a batch into consecutive parts with every short item once, and does not split revisions', () => {
  const items = fc.array(
    fc.record({ step: fc.integer({ min: 0, max: 3 }), bytes: fc.integer({ min: 0, max: 1_200 }) }),
    { maxLength: 40 },
  );
  fc.assert(
    fc.property(items, (drawn) => {
      let revision = 10;
      const changes = drawn.map(({ step, bytes }) => createItem((revision += step) + 1, bytes));
      const parts = splitChanges({
        after: 10,
        revision: revision + 5,
        items: changes,
        isShortened: false,
      });
      assert.equal(parts[0]?.after, 10);
      assert.equal(parts.at(-1)?.revision, revision + 5);
      parts.forEach((part, index) => {
        if (index > 0) assert.equal(part.after, parts[index - 1]?.revision);
        for (const item of part.items) {
          assert.ok(item.revision > part.after && item.revision <= part.revision);
        }
      });
      const short = changes.filter(({ value }) => (value?.length ?? 0) <= 900);
      assert.deepEqual(
        parts.flatMap((part) => part.items),
        short,
      );
      assert.equal(
        parts.some(({ isShortened }) => isShortened),
        short.length < changes.length,
      );
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('omits all items of a batch with too many items, and leaves a gap that receivers detect', () => {
  const items = Array.from({ length: 60 }, (_, index) => createItem(11 + index, 10));
  const parts = splitChanges({ after: 10, revision: 70, items, isShortened: false });
  assert.deepEqual(parts, [{ after: 70, revision: 70, items: [], isShortened: false }]);
});
