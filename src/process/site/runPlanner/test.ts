import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createRecord,
  createSiteConfiguration,
  FAST,
  MODEL,
  SILENT_LOGGER,
} from '../../../../tests/support/site/index.js';
import type { EndpointControl, OrderOutcome, LayerOrder } from '../../../types/relay/index.js';
import type { LayerRange } from '../../../types/site/index.js';
import { planPlacement } from '../../../version/planPlacement/index.js';
import { findOwner } from '../../hashRendezvous/index.js';
import { createExaminer } from '../../relay/createExaminer/index.js';
import { createSiteState } from '../createSiteState/index.js';
import { createPlanner, type Planner } from './index.js';

const ROUND = 300;

/** An engine as the platform describes it: absolute orders, conditional on their number. */
interface Engine {
  startedAt: number;
  layers: LayerRange | undefined;
  acceptedOrders: number;
  isDown: boolean;
}

/** Engines of one zone, three of which hold all layers, and nodes that may plan. */
function createCase(count: number) {
  const clock = { time: 1_000 };
  const engines = new Map<string, Engine>();
  const sent: LayerOrder[] = [];
  /** Orders that get no answer and are carried out later. */
  const late: LayerOrder[] = [];
  let isLate = false;
  const carryOut = (order: LayerOrder): OrderOutcome => {
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
      if (!isLate) return Promise.resolve(carryOut(order));
      late.push(order);
      return Promise.resolve('unknown');
    },
  };
  const service = { name: 'assistant', healthPath: '/', maximumConnections: 9, model: MODEL };
  const configuration = createSiteConfiguration({ services: [service], routes: [] });
  const startNode = (name: string, listAlive: () => string[]): Planner => {
    const now = (): number => clock.time;
    const state = createSiteState({
      decoders: {
        decodeConfiguration: () => configuration,
        decodeEndpoint: (id) =>
          createRecord({ id, address: id, service: 'assistant', kind: FAST.name, startedAt: 1 }),
      },
      logger: SILENT_LOGGER,
      now,
      parse: () => undefined,
      onConfiguration: () => undefined,
    });
    state.offerConfiguration('any', 'store');
    for (const id of engines.keys()) state.offerEndpoint(id, id, 'store');
    const { endpoints } = state;
    const examiner = createExaminer({
      endpoints,
      endpointPort,
      logger: SILENT_LOGGER,
      now,
      onLost: () => undefined,
    });
    return createPlanner({
      self: name,
      state,
      endpointPort,
      logger: SILENT_LOGGER,
      now,
      listAlive,
      examiner,
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
    const living = [...engines.values()].filter(({ isDown }) => !isDown);
    return Array.from({ length: MODEL.layers }, (_, layer) => layer).filter(
      (layer) => !living.some(({ layers }) => layers && layers.from <= layer && layer < layers.to),
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
    carryOutLate: () => {
      for (const order of late.splice(0)) carryOut(order);
    },
  };
}

test('empty engines are ordered once each to hold all layers, and then left alone', async () => {
  const { engines, sent, startNode, run, listMissing } = createCase(5);
  await run([startNode('a', () => ['a'])], 20);
  assert.deepEqual(listMissing(), []);
  assert.equal(sent.length, engines.size);
});

test('layers of an engine that goes dark are held again, and it is used when it is back empty', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  const planner = startNode('a', () => ['a']);
  await run([planner], 20);
  const dark = engines.get('e0');
  assert.ok(dark);
  dark.isDown = true;
  await run([planner], 30);
  assert.deepEqual(listMissing(), []);
  Object.assign(dark, { isDown: false, layers: undefined, acceptedOrders: 0, startedAt: 2 });
  await run([planner], 40);
  assert.ok(dark.layers);
});

test('two nodes that both plan, since they do not see each other, do no harm', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  const planners = [startNode('a', () => ['a']), startNode('b', () => ['b'])];
  await run(planners, 40);
  assert.deepEqual(listMissing(), []);
  for (const { acceptedOrders } of engines.values()) assert.ok(acceptedOrders <= 2);
});

test('orders that get no answer and are carried out later leave all layers held', async () => {
  const { startNode, run, listMissing, setLate, carryOutLate } = createCase(5);
  const planner = startNode('a', () => ['a']);
  setLate(true);
  await run([planner], 12);
  setLate(false);
  await run([planner], 10);
  carryOutLate();
  await run([planner], 60);
  assert.deepEqual(listMissing(), []);
});

test('a node that is not the chosen one orders nothing', async () => {
  const { sent, startNode, run } = createCase(5);
  const alive = ['a', 'b', 'c'];
  const planners = alive.map((name) => startNode(name, () => alive));
  await run(planners, 20);
  const orders = sent.length;
  assert.equal(orders, 5);
});

test('a node that most endpoints do not answer orders nothing, until they are gone or back', async () => {
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
  assert.equal(sent.length, ordered, 'all still hold their layers');
});

test('a planner that dies in the middle of its plan is taken over, and all layers are held', async () => {
  const { engines, startNode, run, listMissing } = createCase(5);
  let alive = ['a', 'b'];
  const planners = new Map(alive.map((name) => [name, startNode(name, () => alive)]));
  const owner = findOwner('planner', alive);
  const first = planners.get(owner ?? '');
  assert.ok(first);
  // Its first orders are out; one engine crashes and comes back empty while nobody plans.
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

test('a planner that was paused and wakes with an old view undoes nothing', async () => {
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
