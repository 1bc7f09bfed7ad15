import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPipeGauge } from './index.js';

test('transfers of this node count for all nodes that send alike, one after the other', () => {
  const gauge = createPipeGauge({ countUsers: () => 3 });
  gauge.note('a', 'b', 14, 1_000);
  gauge.note('b', 'a', 14, 1_000);
  assert.equal(gauge.estimateWait('a', 'b', 1_000), 84);
  assert.equal(gauge.estimateWait('a', 'c', 1_000), 0);
});

test('a pipe is free again once its transfers have passed', () => {
  const gauge = createPipeGauge({ countUsers: () => 1 });
  gauge.note('a', 'b', 14, 1_000);
  assert.equal(gauge.estimateWait('a', 'b', 1_010), 4);
  assert.equal(gauge.estimateWait('a', 'b', 1_100), 0);
  gauge.note('a', 'b', 14, 2_000);
  assert.equal(gauge.estimateWait('a', 'b', 2_000), 14);
});
