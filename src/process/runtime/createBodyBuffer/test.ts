/** Guards against bodies that change when they are copied, and that cost a multiple of their bytes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createBodyBuffer, type CreateBodyBufferOptions } from './index.js';

const LIMITS: CreateBodyBufferOptions = {
  maximumBytes: 20_000,
  maximumChunks: 400,
  reserve: () => true,
};

test('returns the bytes in order, for at most 1 KB and twice their number', () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 900 }), { maxLength: 20 });
  fc.assert(
    fc.property(pieces, (list) => {
      let reserved = 0;
      const reserve = (bytes: number): boolean => {
        reserved += bytes;
        return true;
      };
      const buffer = createBodyBuffer({ ...LIMITS, reserve });
      for (const piece of list) assert.equal(buffer.append(Buffer.from(piece)), undefined);
      const expected = Buffer.concat(list);
      assert.deepEqual(buffer.join(), expected);
      assert.ok(reserved <= 2 * expected.length + 1_024, `${reserved} for ${expected.length}`);
    }),
    { seed: 33, numRuns: 500 },
  );
});

test('reserves memory for 100,000 chunks of two bytes as for one', () => {
  let reserved = 0;
  const reserve = (bytes: number): boolean => {
    reserved += bytes;
    return true;
  };
  const buffer = createBodyBuffer({ maximumBytes: 1e6, maximumChunks: 1e6, reserve });
  for (let count = 0; count < 100_000; count += 1) buffer.append(Buffer.from('ab'));
  assert.equal(buffer.join().length, 200_000);
  assert.ok(reserved <= 2 * 200_000 + 1_024, String(reserved));
});

test('refuses a body over its size, in too many pieces, or without memory', () => {
  assert.equal(createBodyBuffer(LIMITS).append(Buffer.alloc(20_001)), 'tooLarge');
  const few = createBodyBuffer({ ...LIMITS, maximumChunks: 1 });
  assert.equal(few.append(Buffer.from('a')), undefined);
  assert.equal(few.append(Buffer.from('a')), 'tooManyChunks');
  const full = createBodyBuffer({ ...LIMITS, reserve: () => false });
  assert.equal(full.append(Buffer.from('a')), 'noMemory');
});
