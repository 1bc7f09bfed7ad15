import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { buildChainPool, type ChainPool, type PoolEngine } from '../buildChainPool/index.js';
import { coversLayers } from '../checkToken/index.js';
import { chooseChain } from './index.js';

const ZONES = ['a', 'b'];
const LAYERS = 6;

function findLink(from: string, to: string) {
  const isLocal = from === to;
  return { latencyMilliseconds: isLocal ? 0.1 : 10, perPromptTokenMilliseconds: isLocal ? 0 : 0.5 };
}

const engineArbitrary = fc
  .record({
    from: fc.integer({ min: 0, max: LAYERS - 1 }),
    width: fc.integer({ min: 1, max: LAYERS }),
    zone: fc.constantFrom(...ZONES),
    entry: fc.integer({ min: 0, max: 50 }),
    layer: fc.integer({ min: 1, max: 30 }),
  })
  .map(({ from, width, ...costs }) => ({ from, to: Math.min(LAYERS, from + width), ...costs }));

type DrawnEngine = typeof engineArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function createPool(drawn: readonly DrawnEngine[]): ChainPool {
  const engines: PoolEngine[] = drawn.map(({ from, to, zone }, index) => ({
    name: `engine-${index.toString()}`,
    address: '',
    from,
    to,
    availabilityZone: zone,
    layersPerSecond: 1,
  }));
  const pool = buildChainPool({ layers: LAYERS, engines, findLink, homeZone: 'a' });
  drawn.forEach(({ entry, layer }, index) => {
    pool.entryCost[index] = entry;
    pool.layerCost[index] = layer;
  });
  return pool;
}

/** Returns the lowest cost by an exhaustive search over all paths. */
function findLowestCost(
  drawn: readonly DrawnEngine[],
  promptTokens: number,
  tokens: number,
): number {
  const cross = (from: string, to: string): number => {
    const link = findLink(from, to);
    return link.latencyMilliseconds * (1 + tokens) + link.perPromptTokenMilliseconds * promptTokens;
  };
  let cheapest = Infinity;
  const extend = (layer: number, zone: string, cost: number): void => {
    if (layer === LAYERS) {
      cheapest = Math.min(cheapest, cost + cross(zone, 'a'));
      return;
    }
    for (const engine of drawn) {
      if (engine.from > layer || engine.to <= layer) continue;
      for (let end = layer + 1; end <= engine.to; end += 1) {
        const run = engine.entry + engine.layer * (end - layer);
        extend(end, engine.zone, cost + cross(zone, engine.zone) + run);
      }
    }
  };
  extend(0, 'a', 0);
  return cheapest;
}

test('finds a chain of minimum cost that covers every layer once', () => {
  fc.assert(
    fc.property(
      fc.array(engineArbitrary, { minLength: 1, maxLength: 6 }),
      fc.integer({ min: 0, max: 40 }),
      fc.integer({ min: 1, max: 20 }),
      (drawn, promptTokens, expectedTokens) => {
        const chain = chooseChain({ pool: createPool(drawn), promptTokens, expectedTokens });
        const cheapest = findLowestCost(drawn, promptTokens, expectedTokens);
        if (!chain) {
          assert.equal(cheapest, Infinity);
          return;
        }
        assert.ok(Math.abs(chain.cost - cheapest) < 1e-6, `${chain.cost} against ${cheapest}`);
        assert.ok(coversLayers(chain.stages, LAYERS));
      },
    ),
    { seed: 11, numRuns: 400 },
  );
});

test('never chooses an excluded engine, and finds no chain when its layers are missing', () => {
  const pool = createPool([
    { from: 0, to: 3, zone: 'a', entry: 0, layer: 1 },
    { from: 3, to: 6, zone: 'a', entry: 0, layer: 1 },
  ]);
  assert.equal(chooseChain({ pool, promptTokens: 1, expectedTokens: 1 })?.stages.length, 2);
  pool.layerCost[1] = Infinity;
  assert.equal(chooseChain({ pool, promptTokens: 1, expectedTokens: 1 }), undefined);
});

test('prefers a slower engine in the local zone to a fast engine across a slow link', () => {
  const pool = createPool([
    { from: 0, to: 6, zone: 'b', entry: 0, layer: 1 },
    { from: 0, to: 6, zone: 'a', entry: 0, layer: 20 },
  ]);
  const chain = chooseChain({ pool, promptTokens: 100, expectedTokens: 20 });
  assert.equal(chain?.stages[0]?.engine, 'engine-1');
});
