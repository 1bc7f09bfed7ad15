import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRandom } from '../../process/createRandom/index.js';
import {
  createPathCandidate,
  FAST_ACCELERATOR,
  MEDIUM_ACCELERATOR,
  LAYERED_MODEL,
  SLOW_ACCELERATOR,
} from '../../../tests/support/site/index.js';
import { computePassTime } from '../computePassTime/index.js';
import { computeFreeMemory } from '../computeFreeMemory/index.js';
import { choosePathNaively } from '../../../tests/support/choosePathNaively/index.js';
import { choosePath, type PathCandidate } from './index.js';

const MIDPOINT = (): number => 0.5;

function choose(candidates: readonly PathCandidate[], tokens = 900, nodes = 1) {
  return choosePath({
    model: LAYERED_MODEL,
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
        createPathCandidate(String(index), from, Math.min(80, from + width), {
          availabilityZone,
          kind: FAST_ACCELERATOR,
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
  assert.equal(
    choose([createPathCandidate('1', 0, 40), createPathCandidate('2', 41, 80)]),
    undefined,
  );
});

test('skips an endpoint without enough free memory for the request', () => {
  const memory = computeFreeMemory(LAYERED_MODEL, FAST_ACCELERATOR.memoryMegabytes, 40);
  const full = createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR, usedTokenLayers: memory });
  const second = createPathCandidate('2', 40, 80, { kind: FAST_ACCELERATOR });
  const spare = createPathCandidate('3', 0, 40, { kind: FAST_ACCELERATOR, requests: 60 });
  assert.equal(choose([full, second]), undefined);
  assert.equal(choose([full, second, spare])?.hops[0]?.endpoint, '3');
});

test('keeps slots and memory in reserve for unreported load when there are many nodes', () => {
  const slots = Math.floor(LAYERED_MODEL.slots * 0.95);
  const memory =
    computeFreeMemory(LAYERED_MODEL, FAST_ACCELERATOR.memoryMegabytes, 40) * 0.95 - 900 * 40;
  const second = createPathCandidate('2', 40, 80, { kind: FAST_ACCELERATOR });
  const busy = createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR, requests: slots });
  const full = createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR, usedTokenLayers: memory });
  for (const first of [busy, full]) {
    assert.ok(choose([first, second], 900, 6));
    assert.equal(choose([first, second], 900, 78), undefined);
  }
});

test('prefers a path within one availability zone to one over the shared zone link', () => {
  const local = [0, 20, 40, 60].map((from) =>
    createPathCandidate(`n${from}`, from, from + 20, { kind: FAST_ACCELERATOR, requests: 20 }),
  );
  const remote = createPathCandidate('f', 20, 40, {
    kind: FAST_ACCELERATOR,
    availabilityZone: 'chilliwack',
  });
  assert.ok(choose([...local, remote])?.hops.every(({ endpoint }) => endpoint.startsWith('n')));
});

test('keeps a given first hop and replaces the others', () => {
  const hop = { endpoint: '1', address: 'a', range: { from: 0, to: 40 } };
  const path = choosePath({
    model: LAYERED_MODEL,
    candidates: [
      createPathCandidate('1', 0, 60, { kind: FAST_ACCELERATOR }),
      createPathCandidate('2', 40, 80, { kind: FAST_ACCELERATOR }),
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
  const busy = createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR, requests: 100 });
  const idle = createPathCandidate('2', 0, 40, { kind: FAST_ACCELERATOR });
  const second = createPathCandidate('3', 40, 80, { kind: FAST_ACCELERATOR });
  assert.equal(choose([busy, idle, second])?.hops[0]?.endpoint, '2');
});

test('avoids an endpoint with a high slowdown when another one is available', () => {
  const slow = createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR, slowdown: 5 });
  const normal = createPathCandidate('2', 0, 40, { kind: FAST_ACCELERATOR, requests: 30 });
  const second = createPathCandidate('3', 40, 80, { kind: FAST_ACCELERATOR });
  assert.equal(choose([slow, normal, second])?.hops[0]?.endpoint, '2');
});

test('computes a longer pass for a larger batch and a slower accelerator', () => {
  assert.ok(
    computePassTime(LAYERED_MODEL, MEDIUM_ACCELERATOR, 60) >
      computePassTime(LAYERED_MODEL, MEDIUM_ACCELERATOR, 0),
  );
  assert.ok(
    computePassTime(LAYERED_MODEL, SLOW_ACCELERATOR, 0) >
      computePassTime(LAYERED_MODEL, MEDIUM_ACCELERATOR, 0),
  );
});

/** Chooses between a busy endpoint of the local zone and an idle one of a remote zone for the second half of the layers. */
function chooseLocalOrRemote(estimateZoneLinkWait: () => number) {
  const remote = { availabilityZone: 'chilliwack', kind: FAST_ACCELERATOR };
  const local = [
    createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR }),
    createPathCandidate('2', 40, 80, { kind: FAST_ACCELERATOR, requests: 60 }),
  ];
  const path = choosePath({
    model: LAYERED_MODEL,
    candidates: [...local, createPathCandidate('3', 40, 80, remote)],
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
    createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR }),
    createPathCandidate('2', 40, 80, { kind: FAST_ACCELERATOR, availabilityZone: 'chilliwack' }),
  ];
  const options = {
    model: LAYERED_MODEL,
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
  const full = { kind: FAST_ACCELERATOR, requests: LAYERED_MODEL.slots };
  const second = createPathCandidate('2', 40, 80, full);
  assert.equal(choose([createPathCandidate('1', 0, 40, full), second]), undefined);
  assert.ok(choose([createPathCandidate('1', 0, 40, { kind: FAST_ACCELERATOR }), second]));
});

test('spreads the choices of many nodes with the same load figures over similar endpoints', () => {
  const random = createRandom(5);
  const candidates = [
    createPathCandidate('1', 0, 80, { kind: FAST_ACCELERATOR, requests: 10 }),
    createPathCandidate('2', 0, 80, { kind: FAST_ACCELERATOR, requests: 14 }),
  ];
  const large = { ...LAYERED_MODEL, layerMegabytes: 100 };
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

test('a share limits the slots and the memory that a request may fill, and leaves the rest to others', () => {
  const choose = (changes: Partial<PathCandidate>, fillableShare?: number) =>
    choosePath({
      model: LAYERED_MODEL,
      candidates: [createPathCandidate('1', 0, 80, { kind: FAST_ACCELERATOR, ...changes })],
      availabilityZone: 'mission',
      promptTokens: 700,
      answerTokens: 200,
      random: () => 0,
      ...(fillableShare !== undefined && { fillableShare }),
    });
  // An accelerator of this size hosts all layers only of a smaller model.
  const kind = { ...FAST_ACCELERATOR, memoryMegabytes: 200_000 };
  const half = computeFreeMemory(LAYERED_MODEL, kind.memoryMegabytes, 80) / 2;
  const loads = [{ requests: LAYERED_MODEL.slots / 2 }, { usedTokenLayers: half }];
  for (const load of loads) {
    assert.ok(choose({ kind, ...load }));
    assert.ok(choose({ kind, ...load }, 1));
    assert.ok(choose({ kind, ...load }, 0.8));
    assert.equal(choose({ kind, ...load }, 0.45), undefined);
  }
});

// Guards against a faster search that chooses other paths: an extension that is left out, a sum in another order, or
// a tie that is decided differently, which constant random numbers and equal endpoints provoke.
test('chooses the same paths and predicts the same times as the naive search', () => {
  const zones = fc.constantFrom('mission', 'chilliwack', 'abbotsford');
  const endpoint = fc.record({
    from: fc.integer({ min: 0, max: 15 }).map((step) => step * 5),
    width: fc.integer({ min: 1, max: 6 }).map((step) => step * 5),
    availabilityZone: zones,
    kind: fc.constantFrom(FAST_ACCELERATOR, MEDIUM_ACCELERATOR, SLOW_ACCELERATOR),
    requests: fc.integer({ min: 0, max: 140 }),
    usedTokenLayers: fc.integer({ min: 0, max: 150_000 }),
    slowdown: fc.constantFrom(1, 1, 2),
    startWaitMilliseconds: fc.constantFrom(0, 0, 40, Number.POSITIVE_INFINITY),
  });
  const cases = fc.record({
    endpoints: fc.array(endpoint, { minLength: 10, maxLength: 90 }),
    zone: zones,
    keepsFirstHop: fc.boolean(),
    nodes: fc.constantFrom(1, 36, 86, 350),
    linkWait: fc.constantFrom(0, 7),
    seed: fc.option(fc.integer(), { nil: undefined }),
  });
  let found = 0;
  fc.assert(
    fc.property(cases, ({ endpoints, zone, keepsFirstHop, nodes, linkWait, seed }) => {
      const candidates = endpoints.map(({ from, width, ...changes }, index) =>
        createPathCandidate(String(index), from, Math.min(80, from + width), changes),
      );
      const [kept] = candidates;
      const firstHop = kept &&
        keepsFirstHop && {
          hop: {
            endpoint: kept.id,
            address: kept.address,
            range: { from: 0, to: kept.range.to },
          },
          availabilityZone: kept.availabilityZone,
        };
      const createOptions = (): Parameters<typeof choosePath>[0] => ({
        model: LAYERED_MODEL,
        candidates,
        availabilityZone: zone,
        promptTokens: 700,
        answerTokens: 200,
        nodes,
        estimateZoneLinkWait: (from, to) => (from < to ? linkWait : 0),
        random: seed === undefined ? MIDPOINT : createRandom(seed),
        ...(firstHop && { firstHop }),
      });
      const path = choosePath(createOptions());
      if (path) found += 1;
      assert.deepEqual(path, choosePathNaively(createOptions()));
    }),
    { seed: 23, numRuns: 1_000 },
  );
  assert.ok(found > 300, `only ${found} of 1,000 cases have a path`);
});
