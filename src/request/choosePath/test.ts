import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRandom } from '../../process/createRandom/index.js';
import { createCandidate, FAST, MIDDLE, MODEL, SLOW } from '../../../tests/support/site/index.js';
import { computePassTime } from '../computePassTime/index.js';
import { computeRoom } from '../computeRoom/index.js';
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

test('a path runs every layer once and in order, through each endpoint once', () => {
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

test('no path is chosen when a layer is held by nobody', () => {
  assert.equal(choose([createCandidate('1', 0, 40), createCandidate('2', 41, 80)]), undefined);
});

test('an endpoint without room for the request is passed by', () => {
  const room = computeRoom(MODEL, FAST.memoryMegabytes, 40);
  const full = createCandidate('1', 0, 40, { kind: FAST, usedTokenLayers: room });
  const rest = createCandidate('2', 40, 80, { kind: FAST });
  const spare = createCandidate('3', 0, 40, { kind: FAST, requests: 60 });
  assert.equal(choose([full, rest]), undefined);
  assert.equal(choose([full, rest, spare])?.hops[0]?.endpoint, '3');
});

test('many nodes leave some slots and memory free for load that is not told yet', () => {
  const slots = Math.floor(MODEL.slots * 0.95);
  const memory = computeRoom(MODEL, FAST.memoryMegabytes, 40) * 0.95 - 900 * 40;
  const rest = createCandidate('2', 40, 80, { kind: FAST });
  const busy = createCandidate('1', 0, 40, { kind: FAST, requests: slots });
  const full = createCandidate('1', 0, 40, { kind: FAST, usedTokenLayers: memory });
  for (const first of [busy, full]) {
    assert.ok(choose([first, rest], 900, 6));
    assert.equal(choose([first, rest], 900, 78), undefined);
  }
});

test('a path within one availability zone goes before one that crosses the shared pipe', () => {
  const near = [0, 20, 40, 60].map((from) =>
    createCandidate(`n${from}`, from, from + 20, { kind: FAST, requests: 20 }),
  );
  const far = createCandidate('f', 20, 40, { kind: FAST, availabilityZone: 'chilliwack' });
  assert.ok(choose([...near, far])?.hops.every(({ endpoint }) => endpoint.startsWith('n')));
});

test('a path may keep its first hop and replace the rest', () => {
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

test('load moves requests to the idle copy of a range', () => {
  const busy = createCandidate('1', 0, 40, { kind: FAST, requests: 100 });
  const idle = createCandidate('2', 0, 40, { kind: FAST });
  const rest = createCandidate('3', 40, 80, { kind: FAST });
  assert.equal(choose([busy, idle, rest])?.hops[0]?.endpoint, '2');
});

test('an endpoint that reports a slow pace is avoided while another is at hand', () => {
  const slow = createCandidate('1', 0, 40, { kind: FAST, pace: 5 });
  const usual = createCandidate('2', 0, 40, { kind: FAST, requests: 30 });
  const rest = createCandidate('3', 40, 80, { kind: FAST });
  assert.equal(choose([slow, usual, rest])?.hops[0]?.endpoint, '2');
});

test('the time of a pass grows with the batch and the pace', () => {
  assert.ok(computePassTime(MODEL, MIDDLE, 60) > computePassTime(MODEL, MIDDLE, 0));
  assert.ok(computePassTime(MODEL, SLOW, 0) > computePassTime(MODEL, MIDDLE, 0));
});

/** All layers near with many requests, and the second half also far with none. */
function chooseNearOrFar(estimatePipeWait: () => number) {
  const far = { availabilityZone: 'chilliwack', kind: FAST };
  const near = [
    createCandidate('1', 0, 40, { kind: FAST }),
    createCandidate('2', 40, 80, { kind: FAST, requests: 60 }),
  ];
  const path = choosePath({
    model: MODEL,
    candidates: [...near, createCandidate('3', 40, 80, far)],
    availabilityZone: 'mission',
    promptTokens: 700,
    answerTokens: 200,
    estimatePipeWait,
    random: MIDPOINT,
  });
  return path?.hops.map(({ endpoint }) => endpoint);
}

test('a busy endpoint of the own zone is preferred to a pipe that all prompts queue for', () => {
  assert.deepEqual(
    chooseNearOrFar(() => 0),
    ['1', '2'],
  );
});

test('the wait for a pipe counts into the time to the first event', () => {
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
  const busy = choosePath({ ...options, estimatePipeWait: () => 300 })?.firstEventMilliseconds ?? 0;
  assert.ok(Math.abs(busy - free - 300) < 1);
});

test('an endpoint whose slots are taken is no first hop, and still a later one', () => {
  const full = { kind: FAST, requests: MODEL.slots };
  const rest = createCandidate('2', 40, 80, full);
  assert.equal(choose([createCandidate('1', 0, 40, full), rest]), undefined);
  assert.ok(choose([createCandidate('1', 0, 40, { kind: FAST }), rest]));
});

test('many nodes that know the same spread over endpoints that are nearly alike', () => {
  const random = createRandom(5);
  const candidates = [
    createCandidate('1', 0, 80, { kind: FAST, requests: 10 }),
    createCandidate('2', 0, 80, { kind: FAST, requests: 14 }),
  ];
  const large = { ...MODEL, layerMegabytes: 100 };
  const countSecond = (nodes: number): number =>
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
  assert.ok(countSecond(78) > countSecond(6));
  assert.ok(countSecond(78) > 40);
});
