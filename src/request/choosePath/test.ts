import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRandom } from '../../process/createRandom/index.js';
import { createCandidate, FAST, MIDDLE, MODEL, SLOW } from '../../../tests/support/site/index.js';
import { computePassTime } from '../computePassTime/index.js';
import { computeFreeMemory } from '../computeFreeMemory/index.js';
import { choosePath, type PathCandidate } from './index.js';

const MIDPOINT = (): number => 0.5;

function choose(candidates: readonly PathCandidate[], tokens = 900, nodes = 1) {
  return choosePath({
    model: MODEL,
    candidates,
    availabilityZone: 'mission',
    promptTokens: tokens - 200,
    answerTokens: 200,
    random: MIDPOINT,
    nodes,
  });
}

test('runs every layer once and in order, and uses each endpoint at most once', () => {
  const range = fc.tuple(fc.integer({ min: 0, max: 79 }), fc.integer({ min: 1, max: 41 }));
  const fleet = fc.array(fc.tuple(range, fc.constantFrom('mission', 'chilliwack')), {
    minLength: 4,
    maxLength: 30,
  });
  fc.assert(
    fc.property(fleet, (endpoints) => {
      const candidates = endpoints.map(([[from, width], availabilityZone], index) =>
        createCandidate(String(index), from, Math.min(80, from + width), {
          availabilityZone,
          kind: FAST,
        }),
      );
      const path = choose(candidates);
      if (!path) return;
      assert.equal(new Set(path.hops.map(({ endpoint }) => endpoint)).size, path.hops.length);
      let layer = 0;
      for (const { endpoint, range: part } of path.hops) {
        const held = candidates[Number(endpoint)]?.range;
        assert.equal(part.from, layer);
        assert.ok(held && held.from <= part.from && held.to >= part.to);
        layer = part.to;
      }
      assert.equal(layer, 80);
    }),
    { seed: 7, numRuns: 300 },
  );
});

test('returns no path when no endpoint hosts a layer', () => {
  assert.equal(choose([createCandidate('1', 0, 40), createCandidate('2', 41, 80)]), undefined);
});

test('skips an endpoint without enough free memory for the request', () => {
  const memory = computeFreeMemory(MODEL, FAST.memoryMegabytes, 40);
  const full = createCandidate('1', 0, 40, { kind: FAST, usedTokenLayers: memory });
  const second = createCandidate('2', 40, 80, { kind: FAST });
  const spare = createCandidate('3', 0, 40, { kind: FAST, requests: 60 });
  assert.equal(choose([full, second]), undefined);
  assert.equal(choose([full, second, spare])?.hops[0]?.endpoint, '3');
});

test('keeps slots and memory in reserve for unreported load when there are many nodes', () => {
  const slots = Math.floor(MODEL.slots * 0.95);
  const memory = computeFreeMemory(MODEL, FAST.memoryMegabytes, 40) * 0.95 - 900 * 40;
  const second = createCandidate('2', 40, 80, { kind: FAST });
  const busy = createCandidate('1', 0, 40, { kind: FAST, requests: slots });
  const full = createCandidate('1', 0, 40, { kind: FAST, usedTokenLayers: memory });
  for (const first of [busy, full]) {
    assert.ok(choose([first, second], 900, 6));
    assert.equal(choose([first, second], 900, 78), undefined);
  }
});

test('prefers a path within one availability zone to one over the shared zone link', () => {
  const local = [0, 20, 40, 60].map((from) =>
    createCandidate(`n${from}`, from, from + 20, { kind: FAST, requests: 20 }),
  );
  const remote = createCandidate('f', 20, 40, { kind: FAST, availabilityZone: 'chilliwack' });
  assert.ok(choose([...local, remote])?.hops.every(({ endpoint }) => endpoint.startsWith('n')));
});

test('keeps a given first hop and replaces the others', () => {
  const hop = { endpoint: '1', address: 'a', range: { from: 0, to: 40 } };
  const path = choosePath({
    model: MODEL,
    candidates: [
      createCandidate('1', 0, 60, { kind: FAST }),
      createCandidate('2', 40, 80, { kind: FAST }),
    ],
    availabilityZone: 'mission',
    promptTokens: 500,
    answerTokens: 100,
    firstHop: { hop, availabilityZone: 'mission' },
    random: MIDPOINT,
  });
  assert.deepEqual(
    path?.hops.map(({ endpoint, range }) => [endpoint, range.from, range.to]),
    [
      ['1', 0, 40],
      ['2', 40, 80],
    ],
  );
});

test('prefers an idle endpoint to a busy one with the same layers', () => {
  const busy = createCandidate('1', 0, 40, { kind: FAST, requests: 100 });
  const idle = createCandidate('2', 0, 40, { kind: FAST });
  const second = createCandidate('3', 40, 80, { kind: FAST });
  assert.equal(choose([busy, idle, second])?.hops[0]?.endpoint, '2');
});

test('avoids an endpoint with a high slowdown when another one is available', () => {
  const slow = createCandidate('1', 0, 40, { kind: FAST, slowdown: 5 });
  const normal = createCandidate('2', 0, 40, { kind: FAST, requests: 30 });
  const second = createCandidate('3', 40, 80, { kind: FAST });
  assert.equal(choose([slow, normal, second])?.hops[0]?.endpoint, '2');
});

test('computes a longer pass for a larger batch and a slower accelerator', () => {
  assert.ok(computePassTime(MODEL, MIDDLE, 60) > computePassTime(MODEL, MIDDLE, 0));
  assert.ok(computePassTime(MODEL, SLOW, 0) > computePassTime(MODEL, MIDDLE, 0));
});

/** Chooses between a busy endpoint of the local zone and an idle one of a remote zone for the second half of the layers. */
function chooseLocalOrRemote(estimateZoneLinkWait: () => number) {
  const remote = { availabilityZone: 'chilliwack', kind: FAST };
  const local = [
    createCandidate('1', 0, 40, { kind: FAST }),
    createCandidate('2', 40, 80, { kind: FAST, requests: 60 }),
  ];
  const path = choosePath({
    model: MODEL,
    candidates: [...local, createCandidate('3', 40, 80, remote)],
    availabilityZone: 'mission',
    promptTokens: 700,
    answerTokens: 200,
    estimateZoneLinkWait,
    random: MIDPOINT,
  });
  return path?.hops.map(({ endpoint }) => endpoint);
}

test('prefers a busy endpoint of the local zone to a shared zone link', () => {
  assert.deepEqual(
    chooseLocalOrRemote(() => 0),
    ['1', '2'],
  );
});

test('adds the wait for a zone link to the time to the first event', () => {
  const candidates = [
    createCandidate('1', 0, 40, { kind: FAST }),
    createCandidate('2', 40, 80, { kind: FAST, availabilityZone: 'chilliwack' }),
  ];
  const options = {
    model: MODEL,
    candidates,
    availabilityZone: 'mission',
    promptTokens: 700,
    answerTokens: 200,
    random: MIDPOINT,
  };
  const free = choosePath(options)?.firstEventMilliseconds ?? 0;
  const busy =
    choosePath({ ...options, estimateZoneLinkWait: () => 300 })?.firstEventMilliseconds ?? 0;
  assert.ok(Math.abs(busy - free - 300) < 1);
});

test('uses an endpoint without free slots as a later hop but not as the first', () => {
  const full = { kind: FAST, requests: MODEL.slots };
  const second = createCandidate('2', 40, 80, full);
  assert.equal(choose([createCandidate('1', 0, 40, full), second]), undefined);
  assert.ok(choose([createCandidate('1', 0, 40, { kind: FAST }), second]));
});

test('spreads the choices of many nodes with the same load figures over similar endpoints', () => {
  const random = createRandom(5);
  const candidates = [
    createCandidate('1', 0, 80, { kind: FAST, requests: 10 }),
    createCandidate('2', 0, 80, { kind: FAST, requests: 14 }),
  ];
  const large = { ...MODEL, layerMegabytes: 100 };
  const countSecondChoices = (nodes: number): number =>
    Array.from({ length: 400 }, () =>
      choosePath({
        model: large,
        candidates,
        availabilityZone: 'mission',
        promptTokens: 700,
        answerTokens: 200,
        nodes,
        random,
      }),
    ).filter((path) => path?.hops[0]?.endpoint === '2').length;
  assert.ok(countSecondChoices(78) > countSecondChoices(6));
  assert.ok(countSecondChoices(78) > 40);
});
