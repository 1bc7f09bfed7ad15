/** Guards against connections beyond the descriptors of a process, and against counts that never return to 0. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createConnectionLimit } from './index.js';

const MAXIMUMS = { maximumTotal: 6, maximumPerAddress: 3 };

test('accepts a connection exactly while the total and its address have room', () => {
  const steps = fc.array(
    fc.record({ opens: fc.boolean(), address: fc.constantFrom('a', 'b', 'c') }),
  );
  fc.assert(
    fc.property(steps, (list) => {
      const limit = createConnectionLimit(MAXIMUMS);
      let open: string[] = [];
      for (const { opens, address } of list) {
        const own = open.filter((other) => other === address).length;
        if (opens) {
          const isFull = open.length >= MAXIMUMS.maximumTotal;
          const hasFullAddress = own >= MAXIMUMS.maximumPerAddress;
          const expected = isFull ? 'total' : hasFullAddress ? 'address' : undefined;
          assert.equal(limit.open(address), expected);
          if (expected === undefined) open = [...open, address];
        } else {
          limit.close(address);
          const place = open.indexOf(address);
          open = open.filter((_, index) => index !== place);
        }
        assert.equal(limit.countOpen(), open.length);
      }
    }),
    { seed: 32, numRuns: 500 },
  );
});
