import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { Member } from '../../../types/peer/index.js';
import { computeFirstIncarnation, mergeMember, computeProcessIncarnation } from './index.js';

const memberArbitrary: fc.Arbitrary<Member> = fc.record(
  {
    node: fc.constant('n'),
    incarnation: fc.integer({ min: 0, max: 3 }),
    state: fc.constantFrom('alive', 'leaving', 'suspect', 'dead'),
    peerAddress: fc.constant(''),
    callerAddress: fc.constant(''),
    availabilityZone: fc.constant('a'),
    revision: fc.constant(0),
  },
  { noNullPrototype: true },
);

test('merges records to the same result in any order and any number of times', () => {
  fc.assert(
    fc.property(fc.array(memberArbitrary, { minLength: 1, maxLength: 6 }), (members) => {
      const merge = (list: readonly Member[]): Member | undefined =>
        list.reduce<Member | undefined>(mergeMember, undefined);
      const forward = merge(members);
      assert.deepEqual(merge([...members].reverse()), forward);
      assert.deepEqual(merge([...members, ...members]), forward);
    }),
    { seed: 15, numRuns: 300 },
  );
});

test('computes the start of a process from the incarnation of any refutation', () => {
  assert.equal(
    computeProcessIncarnation(computeFirstIncarnation(1_700_000_000_123) + 17),
    1_700_000_000_123,
  );
});
