import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createServiceRetryBudget } from './index.js';

test('keeps the retries of all nodes within the ratio and the slack in any window', () => {
  const nodes = 6;
  const budgets = Array.from({ length: nodes }, () =>
    createServiceRetryBudget({
      ratio: 0.2,
      slack: 196,
      windowMilliseconds: 10_000,
      countNodes: () => nodes,
    }),
  );
  const taken: number[] = [];
  for (let now = 0; now < 40_000; now += 100) {
    for (const budget of budgets) {
      budget.recordRequest('assistant', now);
      for (let tries = 0; tries < 5; tries += 1) if (budget.take('assistant', now)) taken.push(now);
    }
  }
  const requestsInWindow = (nodes * 10_000) / 100;
  for (let from = 0; from < 30_000; from += 500) {
    const retries = taken.filter((at) => at >= from && at < from + 10_000).length;
    assert.ok(retries <= 0.2 * requestsInWindow + 196, `${retries} repeats from ${from} ms`);
  }
  assert.ok(taken.length > 0);
});

test('keeps a separate budget for each service', () => {
  const budget = createServiceRetryBudget({
    ratio: 0,
    slack: 2,
    windowMilliseconds: 1_000,
    countNodes: () => 1,
  });
  assert.equal(budget.take('first', 0), true);
  assert.equal(budget.take('first', 0), false);
  assert.equal(budget.take('second', 0), true);
  assert.equal(budget.take('first', 1_001), true);
});
