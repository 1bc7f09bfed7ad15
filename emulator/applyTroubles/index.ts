/**
 * Troubles of a day, carried out at their times.
 */
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import type { EngineFleet } from '../createEngineFleet/index.js';
import type { VirtualEngine } from '../createEngineFleet/types.js';
import type { PlainFleet } from '../createPlainFleet/index.js';
import type { VirtualCallers } from '../createVirtualCallers/index.js';
import type { VirtualNode } from '../createVirtualNodes/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { Trouble, VirtualDay, VirtualSite } from '../readScenario/index.js';

/** What troubles act on. */
export interface TroubledSystem {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly store: VirtualStore;
  readonly engines: EngineFleet;
  readonly plain: PlainFleet;
  readonly callers: VirtualCallers;
  readonly nodes: readonly VirtualNode[];
  readonly random: Random;
}

/** Time that a node takes to leave, and to start again, in milliseconds. */
const LEAVE_MILLISECONDS = 3_300;
const START_MILLISECONDS = 400;

type Handlers = {
  readonly [Kind in Trouble['kind']]: (
    system: TroubledSystem,
    trouble: Extract<Trouble, { readonly kind: Kind }>,
  ) => void;
};

function pick<Item>(items: readonly Item[], count: number, random: Random): Item[] {
  const rest = [...items];
  const picked: Item[] = [];
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return picked;
}

function listLiving({ engines }: EngineFleet): VirtualEngine[] {
  return engines.filter(({ isDown }) => !isDown);
}

function crashFor(
  { engines, time }: TroubledSystem,
  lost: readonly VirtualEngine[],
  seconds: number,
  isDark: boolean,
): void {
  for (const engine of lost) engines.crash(engine, isDark);
  time.schedule(seconds * 1_000, () => {
    for (const engine of lost) engines.restart(engine);
  });
}

const HANDLERS: Handlers = {
  burst: ({ callers, time }, { factor, seconds }) => {
    callers.setRate(factor);
    time.schedule(seconds * 1_000, () => {
      callers.setRate(1);
    });
  },
  crashEngines: (system, { count, seconds, isDark }) => {
    const { engines, random } = system;
    const holding = listLiving(engines).filter(({ layers }) => layers);
    crashFor(system, pick(holding, count, random), seconds, isDark);
  },
  drainEngines: ({ engines, random, time }, { count, seconds }) => {
    const holding = listLiving(engines).filter(({ layers }) => layers);
    for (const engine of pick(holding, count, random)) {
      engines.drain(engine);
      time.schedule(seconds * 1_000, () => {
        engines.restart(engine);
      });
    }
  },
  loseZone: (system, { zone, seconds }) => {
    const name = system.site.availabilityZones[zone];
    const lost = listLiving(system.engines).filter(
      ({ availabilityZone }) => availabilityZone === name,
    );
    crashFor(system, lost, seconds, true);
  },
  slowEngines: ({ engines, random, time }, { count, factor, seconds }) => {
    const slow = pick(listLiving(engines), count, random);
    for (const engine of slow) engine.pace = factor;
    time.schedule(seconds * 1_000, () => {
      for (const engine of slow) engine.pace = 1;
    });
  },
  greyServices: ({ plain, time }, { count, share, seconds }) => {
    plain.setGrey(count, share);
    time.schedule(seconds * 1_000, () => {
      plain.setGrey(count, 0);
    });
  },
  lateOrders: ({ engines, time }, { share, seconds }) => {
    engines.setLateOrders(share);
    time.schedule(seconds * 1_000, () => {
      engines.setLateOrders(0);
    });
  },
  storeAway: ({ store, nodes, random, time }, { share, seconds }) => {
    const away = pick(nodes, Math.ceil(nodes.length * share), random);
    for (const { name } of away) store.away.add(name);
    time.schedule(seconds * 1_000, () => {
      for (const { name } of away) store.away.delete(name);
    });
  },
  replaceNodes: ({ nodes, time }, { gapSeconds }) => {
    nodes.forEach((node, index) => {
      time.schedule(index * gapSeconds * 1_000, () => {
        node.leave();
        time.schedule(LEAVE_MILLISECONDS, () => {
          node.kill();
          time.schedule(START_MILLISECONDS, node.start);
        });
      });
    });
  },
  loseNodes: ({ nodes, random, time }, { share, seconds }) => {
    const lost = pick(nodes, Math.ceil(nodes.length * share), random);
    for (const node of lost) node.kill();
    time.schedule(seconds * 1_000, () => {
      for (const node of lost) node.start();
    });
  },
};

/**
 * Plans the troubles of a day.
 *
 * @param system - what they act on
 * @param day - the day, whose times begin with the first request
 * @param seed - decides what is hit
 * @returns nothing
 * @example
 * applyTroubles(system, day, 1);
 */
export function applyTroubles(
  system: Omit<TroubledSystem, 'random'>,
  day: VirtualDay,
  seed: number,
): void {
  const random = createRandom(seed + 41);
  const leadMilliseconds = system.site.leadSeconds * 1_000;
  for (const trouble of day.troubles) {
    system.time.schedule(leadMilliseconds + trouble.at * 1_000, () => {
      const handle = HANDLERS[trouble.kind] as (troubled: TroubledSystem, trouble: Trouble) => void;
      handle({ ...system, random }, trouble);
    });
  }
}
