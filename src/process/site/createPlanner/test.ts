import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createEndpointRecord,
  createSiteConfiguration,
  FAST_ACCELERATOR,
  LAYERED_MODEL,
  NO_RATE_LIMITS,
  NOOP_LOGGER,
  SOUND_LINKS,
} from '../../../../tests/support/site/index.js';
import type { EndpointControl, OrderOutcome, LayerOrder } from '../../../types/relay/index.js';
import type { LayerRange } from '../../../types/site/index.js';
import { planPlacement } from '../../../version/planPlacement/index.js';
import { findOwner } from '../../hashRendezvous/index.js';
import { createEndpointProber } from '../../relay/createEndpointProber/index.js';
import { createSiteState } from '../createSiteState/index.js';
import { createPlanner, type Planner } from './index.js';

const ROUND = 300;

/**
 * Model of an engine of the platform: orders name the complete range and are conditional on the
 * number of accepted orders.
 */
interface Engine {
  startedAt: number;
  layers: LayerRange | undefined;
  acceptedOrders: number;
  isDown: boolean;
}

/** Creates engines of one zone, three of which can host all layers, and nodes that may plan. */
function createCase(count: number) {
  const clock = { time: 1_000 };
  const engines = new Map<string, Engine>();
  const sent: LayerOrder[] = [];
  /** Orders that get no response and are executed later. */
  const late: LayerOrder[] = [];
  let isLate = false;
  const execute = (order: LayerOrder): OrderOutcome => {
    const engine = engines.get(order.address);
    if (!engine || engine.isDown) return 'refused';
    if (engine.acceptedOrders !== order.acceptedOrders) return 'conflict';
    engine.acceptedOrders += 1;
    engine.layers = order.range;
    return 'begun';
  };
  const endpointPort: Pick<EndpointControl, 'fetchReport' | 'sendOrder'> = {
    fetchReport: (address) => {
      const engine = engines.get(address);
      if (!engine || engine.isDown) return Promise.resolve(undefined);
      const { layers, acceptedOrders, startedAt } = engine;
      return Promise.resolve({
        layers,
        acceptedOrders,
        startedAt,
        isBusy: false,
        slowdown: 1,
        usedTokenLayers: 0,
        totalTokenLayers: 1,
        stalledAddresses: [],
        isLeaving: false,
      });
    },
    sendOrder: (order) => {
      sent.push(order);
      if (!isLate) return Promise.resolve(execute(order));
      late.push(order);
      return Promise.resolve('unknown');
    },
  };
  const service = {
    name: 'assistant',
    healthPath: '/',
    maximumConnections: 9,
    model: LAYERED_MODEL,
  };
  const configuration = createSiteConfiguration({ services: [service], routes: [] });
  const startNode = (name: string, listAlive: () => string[]): Planner => {
    const now = (): number => clock.time;
    const state = createSiteState({
      decoders: {
        decodeConfiguration: () => configuration,
        decodeEndpoint: (id) =>
          createEndpointRecord({
            id,
            address: id,
            service: 'assistant',
            kind: FAST_ACCELERATOR.name,
            startedAt: 1,
          }),
      },
      logger: NOOP_LOGGER,
      now,
      parse: () => undefined,
      onConfiguration: () => undefined,
    });
    state.applyConfiguration('any', 'store');
    for (const id of engines.keys()) state.applyEndpoint(id, id, 'store');
    const { endpoints } = state;
    const prober = createEndpointProber({
      endpoints,
      endpointPort,
      links: SOUND_LINKS,
      rateLimits: NO_RATE_LIMITS,
      logger: NOOP_LOGGER,
      now,
      onLost: () => undefined,
    });
    return createPlanner({
      self: name,
      state,
      endpointPort,
      logger: NOOP_LOGGER,
      now,
      listAlive,
      prober,
      planPlacement,
    });
  };
  for (let index = 0; index < count; index += 1) {
    engines.set(`e${index}`, { startedAt: 1, layers: undefined, acceptedOrders: 0, isDown: false });
  }
  const run = async (planners: readonly Planner[], rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      clock.time += ROUND;
      for (const planner of planners) await planner.step();
    }
  };
  const listMissing = (): number[] => {
    const live = [...engines.values()].filter(({ isDown }) => !isDown);
    return Array.from({ length: LAYERED_MODEL.layers }, (_, layer) => layer).filter(
      (layer) => !live.some(({ layers }) => layers && layers.from <= layer && layer < layers.to),
    );
  };
  return {
    engines,
    sent,
    startNode,
    run,
    listMissing,
    setLate: (value: boolean) => {
      isLate = value;
    },
    executeLate: () => {
      for (const order of late.splice(0)) execute(order);
    },
  };
}

test('sends each empty engine one order until all layers are hosted, and then none', async () => {
  const { engines, sent, startNode, run, listMissing } = createCase(5);
  await run([startNode('a', () => ['a'])], 20);
  assert.deepEqual(listMissing(), []);
  assert.equal(sent.length, engines.size);
});

test('reassigns the layers of an engine that stops responding, and uses it again after its restart without layers', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  const planner = startNode('a', () => ['a']);
  await run([planner], 20);
  const unresponsive = engines.get('e0');
  assert.ok(unresponsive);
  unresponsive.isDown = true;
  await run([planner], 30);
  assert.deepEqual(listMissing(), []);
  Object.assign(unresponsive, {
    isDown: false,
    layers: undefined,
    acceptedOrders: 0,
    startedAt: 2,
  });
  await run([planner], 40);
  assert.ok(unresponsive.layers);
});

test('two nodes that both plan because they do not reach each other still get all layers hosted', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  const planners = [startNode('a', () => ['a']), startNode('b', () => ['b'])];
  await run(planners, 40);
  assert.deepEqual(listMissing(), []);
  for (const { acceptedOrders } of engines.values()) assert.ok(acceptedOrders <= 2);
});

test('all layers are hosted after orders without a response are executed late', async () => {
  const { startNode, run, listMissing, setLate, executeLate } = createCase(5);
  const planner = startNode('a', () => ['a']);
  setLate(true);
  await run([planner], 12);
  setLate(false);
  await run([planner], 10);
  executeLate();
  await run([planner], 60);
  assert.deepEqual(listMissing(), []);
});

test('only the chosen node sends orders', async () => {
  const { sent, startNode, run } = createCase(5);
  const alive = ['a', 'b', 'c'];
  const planners = alive.map((name) => startNode(name, () => alive));
  await run(planners, 20);
  const orders = sent.length;
  assert.equal(orders, 5);
});

test('a node that most endpoints do not respond to sends no orders', async () => {
  const { engines, sent, startNode, run } = createCase(6);
  const planner = startNode('a', () => ['a']);
  await run([planner], 20);
  const ordered = sent.length;
  const cut = [...engines.values()].slice(0, 4);
  for (const engine of cut) engine.isDown = true;
  await run([planner], 40);
  assert.equal(sent.length, ordered);
  for (const engine of cut) engine.isDown = false;
  await run([planner], 40);
  assert.equal(sent.length, ordered, 'all still host their layers');
});

test('another node takes over from a planner that fails during its plan, and all layers are hosted', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  let alive = ['a', 'b'];
  const planners = new Map(alive.map((name) => [name, startNode(name, () => alive)]));
  const owner = findOwner('planner', alive);
  const first = planners.get(owner ?? '');
  assert.ok(first);
  // Its first orders are sent; one engine crashes and restarts without layers while no node plans.
  await run([first], 3);
  const crashed = engines.get('e0');
  assert.ok(crashed);
  Object.assign(crashed, { layers: undefined, acceptedOrders: 0, startedAt: 2 });
  alive = alive.filter((name) => name !== owner);
  const second = planners.get(alive[0] ?? '');
  assert.ok(second);
  await run([second], 40);
  assert.deepEqual(listMissing(), []);
});

test('a planner that resumes after a pause with outdated state reverts no layers', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  const paused = startNode('a', () => ['a']);
  await run([paused], 3);
  const other = startNode('b', () => ['b']);
  const crashed = engines.get('e1');
  assert.ok(crashed);
  crashed.isDown = true;
  await run([other], 30);
  assert.deepEqual(listMissing(), []);
  await run([paused, other], 30);
  assert.deepEqual(listMissing(), []);
});
