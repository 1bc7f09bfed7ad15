import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  FAST_ACCELERATOR,
  MEDIUM_ACCELERATOR,
  LAYERED_MODEL,
  SLOW_ACCELERATOR,
} from '../../../tests/support/site/index.js';
import type { AcceleratorKind, LayerRange } from '../../types/site/index.js';
import type { PlacementCandidate } from '../../types/placement/index.js';
import { planPlacement } from './index.js';

function createFleet(
  zone: string,
  counts: readonly (readonly [AcceleratorKind, number])[],
): PlacementCandidate[] {
  return counts.flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index) => ({
      id: `${zone}-${kind.name}-${index}`,
      availabilityZone: zone,
      kind,
      isBusy: false,
    })),
  );
}

const SITE = [
  ...createFleet('abbotsford', [
    [FAST_ACCELERATOR, 1],
    [MEDIUM_ACCELERATOR, 6],
    [SLOW_ACCELERATOR, 6],
  ]),
  ...createFleet('chilliwack', [
    [FAST_ACCELERATOR, 1],
    [MEDIUM_ACCELERATOR, 10],
    [SLOW_ACCELERATOR, 4],
  ]),
  ...createFleet('mission', [
    [FAST_ACCELERATOR, 2],
    [MEDIUM_ACCELERATOR, 4],
    [SLOW_ACCELERATOR, 4],
  ]),
];

function apply(
  fleet: readonly PlacementCandidate[],
  placement: ReadonlyMap<string, LayerRange>,
): PlacementCandidate[] {
  return fleet.map((endpoint) => ({
    ...endpoint,
    range: placement.get(endpoint.id) ?? endpoint.range,
  }));
}

function findUncovered(fleet: readonly PlacementCandidate[], zone: string): number[] {
  const zoneEndpoints = fleet.filter(({ availabilityZone }) => availabilityZone === zone);
  return Array.from({ length: LAYERED_MODEL.layers }, (_, layer) => layer).filter(
    (layer) => !zoneEndpoints.some(({ range }) => range && range.from <= layer && layer < range.to),
  );
}

function assertFits(fleet: readonly PlacementCandidate[]): void {
  for (const { id, kind, range } of fleet) {
    if (!range) continue;
    const megabytes = (range.to - range.from) * LAYERED_MODEL.layerMegabytes;
    assert.ok(megabytes <= kind.memoryMegabytes, `${id} is ordered to hold more than fits`);
    assert.ok(range.from >= 0 && range.to <= LAYERED_MODEL.layers && range.from < range.to, id);
  }
}

test('assigns every layer in each availability zone within the memory of each endpoint', () => {
  const placed = apply(SITE, planPlacement(LAYERED_MODEL, SITE));
  assertFits(placed);
  for (const zone of ['abbotsford', 'chilliwack', 'mission']) {
    assert.deepEqual(findUncovered(placed, zone), [], zone);
  }
});

test('returns no orders for a placement that is complete', () => {
  const placed = apply(SITE, planPlacement(LAYERED_MODEL, SITE));
  assert.equal(planPlacement(LAYERED_MODEL, placed).size, 0);
});

test('reassigns the layers of any single failed endpoint within its availability zone', () => {
  const placed = apply(SITE, planPlacement(LAYERED_MODEL, SITE));
  for (const lost of placed) {
    const others = placed.filter(({ id }) => id !== lost.id);
    const repaired = apply(others, planPlacement(LAYERED_MODEL, others));
    assertFits(repaired);
    // A zone that loses its only large endpoint may use another zone for up to a tenth of the layers.
    const isLargest = lost.id === 'abbotsford-a100-0';
    const missing = findUncovered(repaired, lost.availabilityZone);
    assert.ok(
      missing.length <= (isLargest ? LAYERED_MODEL.layers / 10 : 0),
      `${lost.id}: ${missing.join()}`,
    );
    for (const layer of missing) {
      const isElsewhere = repaired.some(
        ({ range }) => range && range.from <= layer && layer < range.to,
      );
      assert.ok(isElsewhere, `layer ${layer} without ${lost.id}`);
    }
  }
});

test('assigns the missing layers to an endpoint that restarted empty', () => {
  const placed = apply(SITE, planPlacement(LAYERED_MODEL, SITE));
  const restarted = placed.map((endpoint) =>
    endpoint.id === 'mission-a100-0' ? { ...endpoint, range: undefined } : endpoint,
  );
  const orders = planPlacement(LAYERED_MODEL, restarted);
  assert.ok(orders.has('mission-a100-0'));
  assert.deepEqual(findUncovered(apply(restarted, orders), 'mission'), []);
});

test('sends no order to an endpoint with an order in progress', () => {
  const busy = SITE.map((endpoint) => ({ ...endpoint, isBusy: true, range: { from: 0, to: 4 } }));
  assert.equal(planPlacement(LAYERED_MODEL, busy).size, 0);
});

test('never assigns more layers than fit, for any fleet', () => {
  const endpoint = fc.record({
    zone: fc.constantFrom('a', 'b'),
    kind: fc.constantFrom(FAST_ACCELERATOR, MEDIUM_ACCELERATOR, SLOW_ACCELERATOR),
    from: fc.integer({ min: 0, max: 75 }),
    width: fc.integer({ min: 0, max: 5 }),
    isBusy: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(endpoint, { maxLength: 25 }), (drawn) => {
      const fleet = drawn.map(({ zone, kind, from, width, isBusy }, index) => ({
        id: `i-${index}`,
        availabilityZone: zone,
        kind,
        isBusy,
        range: width === 0 ? undefined : { from, to: from + width },
      }));
      const orders = planPlacement(LAYERED_MODEL, fleet);
      assertFits(apply(fleet, orders));
      for (const { id, isBusy } of fleet) assert.ok(!isBusy || !orders.has(id), id);
    }),
    { seed: 11, numRuns: 200 },
  );
});

/** Guards against orders for layers that the model does not have, which an endpoint claims to host. */
test('orders only layers of the model when an endpoint names more than there are', () => {
  for (const range of [
    { from: 0, to: 100 },
    { from: 90, to: 100 },
    { from: 60, to: 1e15 },
  ]) {
    const fleet = SITE.map((candidate, index) =>
      index === 0 ? { ...candidate, range } : candidate,
    );
    for (const order of planPlacement(LAYERED_MODEL, fleet).values()) {
      assert.ok(order.from >= 0 && order.from < order.to && order.to <= LAYERED_MODEL.layers);
    }
  }
});
