import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DECISION_VARIANTS } from '../decisionVariants/index.js';
import { readSite } from '../readScenario/index.js';
import { simulateChoosers, type ChoosersResult } from './index.js';

/** Usual demand of a site with three kinds of engines. */
const LOAD = {
  site: readSite('examples/emulator/fit-desk-large.json'),
  streamsPerSecond: 204,
};
const PRIORITIES = [0, 1, 2];
const MAXIMUM_REFUSED_SHARE = 0.01;

function simulate(
  options: Omit<Parameters<typeof simulateChoosers>[0], keyof typeof LOAD | 'decisions'>,
  version = 'product',
): ChoosersResult {
  const decisions = DECISION_VARIANTS[version];
  assert.ok(decisions);
  return simulateChoosers({ ...LOAD, ...options, decisions });
}

function computeRefusedShare({ arrivals, refusedArrivals }: ChoosersResult): number {
  return (refusedArrivals.slots + refusedArrivals.memory) / arrivals;
}

// Guards against nodes that fill the same few endpoints in turn, because each chooses the best one by loads that are
// half a second old. The variant without the spread is the naive counterpart.
test('spreads the choices of many nodes so that endpoints refuse fewer arrivals', () => {
  for (const seed of [1, 2]) {
    const options = { choosers: 86, priorities: PRIORITIES, seed };
    const spread = simulate(options);
    const best = simulate(options, 'no-spread');
    const shares = [computeRefusedShare(spread), computeRefusedShare(best)] as const;
    assert.ok(shares[0] < 0.75 * shares[1], `seed ${seed}: ${shares.join(' and ')} refused`);
    assert.ok(spread.onTime / spread.streams >= best.onTime / best.streams);
  }
});

// The bound of the design page, which holds neither with the spread nor without it: see KNOWN-RED.txt.
test('lets endpoints refuse under 1 in 100 arrivals', { todo: 'see KNOWN-RED.txt' }, () => {
  const shares = [86, 350].map((choosers) =>
    computeRefusedShare(simulate({ choosers, priorities: PRIORITIES, seed: 1 })),
  );
  assert.ok(Math.max(...shares) < MAXIMUM_REFUSED_SHARE, `${shares.join(' and ')} refused`);
});

// Guards against other choices of a service with one priority and accelerators of similar speed.
test('chooses as without the spread where the configuration does not ask for it', () => {
  const pick = (version: string): Partial<ChoosersResult> => {
    const { choiceMicroseconds, ...figures } = simulate(
      { choosers: 36, seed: 1, seconds: 8 },
      version,
    );
    assert.ok(choiceMicroseconds.length > 0);
    return figures;
  };
  assert.deepEqual(pick('product'), pick('no-spread'));
});
