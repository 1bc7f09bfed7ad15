/**
 * Guards against less urgent streams that fill the capacity which more urgent ones need a moment later, against shares
 * that differ between nodes with the same facts, and against capacity that stays reserved for nobody.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { PriorityDemand, ServiceDemand } from '../../types/admission/index.js';
import { computeAdmissionShares, MINIMUM_SHARE } from './index.js';

const CAPACITY = { slots: 680, tokenLayers: 680 * 72_000 };
const ROUNDING = 1e-9;

function createDemand(
  priority: number,
  requestsPerSecond: number,
  heldRequests: number,
): PriorityDemand {
  return {
    priority,
    requestsPerSecond,
    tokenLayersPerSecond: requestsPerSecond * 72_000,
    heldRequests,
    heldTokenLayers: heldRequests * 72_000,
  };
}

const priorityDemands = fc.uniqueArray(
  fc
    .record({
      priority: fc.integer({ min: 1, max: 9 }),
      rate: fc.double({ min: 0, max: 400, noNaN: true }),
      held: fc.integer({ min: 0, max: 600 }),
    })
    .map(({ priority, rate, held }) => createDemand(priority, rate, held)),
  { selector: ({ priority }) => priority, minLength: 1, maxLength: 6 },
);
const demands = fc.record<ServiceDemand>({
  stayMilliseconds: fc.integer({ min: 0, max: 20_000 }),
  priorities: priorityDemands,
});
const previousShares = fc
  .array(fc.tuple(fc.integer({ min: 1, max: 9 }), fc.double({ min: 0.1, max: 1, noNaN: true })))
  .map((entries) => new Map(entries));

function sortByPriority(shares: ReadonlyMap<number, number>): [number, number][] {
  return [...shares].sort(([left], [right]) => left - right);
}

/** Computes the shares of a first round anew for each priority, from the slots alone. */
function computeNaively({ priorities, stayMilliseconds }: ServiceDemand): [number, number][] {
  const stay = stayMilliseconds / 1_000;
  const shares = priorities.map(({ priority }): [number, number] => {
    const needs = priorities
      .filter((other) => other.priority < priority)
      .map((other) => Math.max(0, other.requestsPerSecond * stay * 1.15 - other.heldRequests));
    const needed = needs.reduce((sum, need) => sum + need, 0);
    const soon = stay > 1 ? needed / stay : needed;
    return [priority, Math.max(MINIMUM_SHARE, 1 - soon / CAPACITY.slots)];
  });
  return shares.sort(([left], [right]) => left - right);
}

test('equals the shares that are computed anew for each priority', () => {
  fc.assert(
    fc.property(demands, (demand) => {
      const shares = sortByPriority(computeAdmissionShares({ demand, capacity: CAPACITY }));
      const expected = computeNaively(demand);
      assert.equal(shares.length, expected.length);
      for (const [index, [priority, share]] of expected.entries()) {
        const [computedPriority, computedShare] = shares[index] ?? [0, 0];
        assert.equal(computedPriority, priority);
        assert.ok(Math.abs(computedShare - share) < 1e-6);
      }
    }),
    { seed: 41, numRuns: 500 },
  );
});

test('the most urgent may fill all, a less urgent priority never more than a more urgent one', () => {
  fc.assert(
    fc.property(demands, previousShares, (demand, previous) => {
      const shares = computeAdmissionShares({ demand, capacity: CAPACITY, previous });
      const sorted = sortByPriority(shares).map(([, share]) => share);
      assert.equal(sorted[0], 1);
      sorted.slice(1).forEach((share, index) => {
        assert.ok(share <= (sorted[index] ?? 0) + ROUNDING);
        assert.ok(share >= Math.min(0.1, MINIMUM_SHARE));
      });
    }),
    { seed: 42, numRuns: 500 },
  );
});

test('the same facts give the same shares, in whatever order they arrive', () => {
  fc.assert(
    fc.property(demands, previousShares, (demand, previous) => {
      const reversed = { ...demand, priorities: [...demand.priorities].reverse() };
      assert.deepEqual(
        sortByPriority(computeAdmissionShares({ demand, capacity: CAPACITY, previous })),
        sortByPriority(computeAdmissionShares({ demand: reversed, capacity: CAPACITY, previous })),
      );
    }),
    { seed: 43, numRuns: 200 },
  );
});

test('reserves what urgent requests need within a second, where the naive version reserves nothing', () => {
  const demand = {
    stayMilliseconds: 3_000,
    priorities: [createDemand(1, 110, 250), createDemand(3, 36, 300)],
  };
  const share = computeAdmissionShares({ demand, capacity: CAPACITY }).get(3) ?? 0;
  const reserved = (1 - share) * CAPACITY.slots;
  assert.ok(reserved >= (110 * 3 - 250) / 3, `${reserved} slots are reserved`);
  assert.ok(reserved < 110, `${reserved} slots are reserved`);
});

test('reserves by the memory where it is scarcer than the slots', () => {
  const demand = {
    stayMilliseconds: 1_000,
    priorities: [createDemand(1, 100, 0), createDemand(2, 10, 0)],
  };
  const bySlots = computeAdmissionShares({ demand, capacity: CAPACITY }).get(2) ?? 0;
  const capacity = { ...CAPACITY, tokenLayers: CAPACITY.tokenLayers / 2 };
  const byMemory = computeAdmissionShares({ demand, capacity }).get(2) ?? 0;
  assert.ok(Math.abs(1 - byMemory - 2 * (1 - bySlots)) < 1e-6);
});

test('capacity that urgent requests hold already or need no more is not reserved', () => {
  for (const urgent of [createDemand(1, 110, 400), createDemand(1, 0, 0)]) {
    const demand = { stayMilliseconds: 3_000, priorities: [urgent, createDemand(3, 36, 200)] };
    assert.equal(computeAdmissionShares({ demand, capacity: CAPACITY }).get(3), 1);
  }
});

test('shares fall at once, rise in steps, and do not follow small changes', () => {
  const play = (held: number, before: number): number => {
    const demand = {
      stayMilliseconds: 1_000,
      priorities: [createDemand(1, 400, held), createDemand(3, 36, 100)],
    };
    const previous = new Map([[3, before]]);
    return computeAdmissionShares({ demand, capacity: CAPACITY, previous }).get(3) ?? 0;
  };
  const target = 1 - (400 * 1.15 - 100) / CAPACITY.slots;
  assert.ok(Math.abs(play(100, 1) - target) < ROUNDING);
  assert.ok(Math.abs(play(460, 0.3) - 0.4) < ROUNDING);
  assert.equal(play(100, target + 0.015), target + 0.015);
  assert.equal(play(460, 0.99), 1);
});

test('a service without capacity, or whose requests have not ended yet, reserves nothing', () => {
  const priorities = [createDemand(1, 110, 0), createDemand(3, 36, 0)];
  const noCapacity = { slots: 0, tokenLayers: 0 };
  const known = { stayMilliseconds: 3_000, priorities };
  assert.equal(computeAdmissionShares({ demand: known, capacity: noCapacity }).get(3), 1);
  const unknown = { stayMilliseconds: 0, priorities };
  assert.equal(computeAdmissionShares({ demand: unknown, capacity: CAPACITY }).get(3), 1);
});
