import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createPathCandidate,
  FAST_ACCELERATOR,
  LAYERED_MODEL,
} from '../../../tests/support/site/index.js';
import { describeFreeMemory, findLeastFreeMemory, formatRanges } from './index.js';

test('distinguishes layers that no endpoint hosts from layers without free memory', () => {
  const full = createPathCandidate('1', 0, 6, { usedTokenLayers: 1e12 });
  const empty = createPathCandidate('2', 10, 16);
  const sections = describeFreeMemory(LAYERED_MODEL, [full, empty]);
  const uncovered = sections.filter(({ tokens }) => tokens === undefined);
  assert.equal(formatRanges(uncovered.map(({ range }) => range)), '6-10 16-80');
  assert.deepEqual(findLeastFreeMemory(sections), { range: { from: 0, to: 6 }, tokens: 0 });
});

test('reports the free memory of a layer at the endpoint with the most', () => {
  const small = createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR, usedTokenLayers: 1e9 });
  const large = createPathCandidate('2', 0, 20, { kind: FAST_ACCELERATOR });
  const [first, second] = describeFreeMemory(LAYERED_MODEL, [small, large]);
  assert.ok((first?.tokens ?? 0) > (second?.tokens ?? 0));
  assert.deepEqual(first?.range, { from: 0, to: 20 });
  assert.equal(findLeastFreeMemory([]), undefined);
});

test('describes only the layers of the model when an endpoint names more', () => {
  const endless = createPathCandidate('1', 60, 1e15);
  const sections = describeFreeMemory(LAYERED_MODEL, [endless]);
  assert.equal(formatRanges(sections.map(({ range }) => range)), '0-60 60-80');
});
