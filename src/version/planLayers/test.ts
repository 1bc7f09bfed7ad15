import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { planLayers } from './index.js';

const selector = {
  name: 's',
  callers: {},
  endpoints: {},
  serve: { kind: 'model' as const, model: 'm', version: '1', adapter: '', layers: 48 },
  priority: 5,
  share: 100,
  weigh: 'recovery' as const,
  changedAt: 0,
};

test('assigns every layer when the total capacity is at least twice the number of layers', () => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(12, 16, 24, 48), { minLength: 8, maxLength: 40 }),
      (capacities) => {
        const engines = capacities.map((capacity, index) => ({
          name: `engine-${index.toString().padStart(2, '0')}`,
          capacity,
        }));
        const copies = Array.from({ length: 48 }, () => 0);
        for (const { from, to } of planLayers(selector, engines).values()) {
          for (let layer = from; layer < to; layer += 1) copies[layer] = (copies[layer] ?? 0) + 1;
        }
        assert.ok(Math.min(...copies) >= 1);
      },
    ),
    { seed: 16, numRuns: 200 },
  );
});

test('keeps the range that an engine reports unless a label sets another', () => {
  const reported = { model: 'm', version: '0', adapters: [], from: 24, to: 48 };
  const plan = planLayers(selector, [
    { name: 'a', capacity: 24, reported },
    { name: 'b', capacity: 24, reported, fixed: { from: 0, to: 24 } },
  ]);
  assert.equal(plan.get('a')?.from, 24);
  assert.equal(plan.get('a')?.version, '1');
  assert.equal(plan.get('b')?.from, 0);
});
