/**
 * Injects the faults of a day at their scheduled times.
 */
import { createRandom, type Random } from '../../src/process/createRandom/index.js';
import type { EngineFleet } from '../createEngineFleet/index.js';
import type { VirtualEngine } from '../createEngineFleet/types.js';
import type { PlainFleet } from '../createPlainFleet/index.js';
import type { VirtualCallers } from '../createVirtualCallers/index.js';
import { NODE_LEAVE_MILLISECONDS, type VirtualNode } from '../createVirtualNodes/index.js';
import type { VirtualLimits } from '../createVirtualLimits/index.js';
import type { VirtualOperator } from '../createVirtualOperator/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { InjectedFault, VirtualDay, VirtualSite } from '../readScenario/index.js';

/** Parts of the emulated system that faults act on. */
export interface FaultTargets {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly store: VirtualStore;
  readonly engines: EngineFleet;
  readonly plain: PlainFleet;
  readonly limits: VirtualLimits;
  readonly callers: VirtualCallers;
  readonly nodes: readonly VirtualNode[];
  readonly operator: VirtualOperator;
  readonly random: Random;
}

/** Time from the end of a node's process until it starts again. */
const NODE_START_MILLISECONDS = 400;
/** Maximum time after the return of a restored store until its writers have written theirs again. */
const REWRITE_MILLISECONDS = 2_000;

type Handlers = {
  readonly [Kind in InjectedFault['kind']]: (
    system: FaultTargets,
    fault: Extract<InjectedFault, { readonly kind: Kind }>,
  ) => void;
};

/** Picks distinct items at random; all of them when there are fewer than `count`. */
function pickRandom<Item>(items: readonly Item[], count: number, random: Random): Item[] {
  const remaining = [...items];
  const picked: Item[] = [];
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return picked;
}

function listLiveEngines({ engines }: EngineFleet): VirtualEngine[] {
  return engines.filter(({ isDown }) => !isDown);
}

function crashTemporarily(
  { engines, time }: FaultTargets,
  lost: readonly VirtualEngine[],
  seconds: number,
  isDark: boolean,
): void {
  for (const engine of lost) engines.crash(engine, isDark);
  time.schedule(seconds * 1_000, () => {
    for (const engine of lost) engines.restart(engine);
  });
}

/** Lets the operator and the endpoints write theirs again after the store was restored. */
function repeatWrites({ operator, engines, plain, random, time }: FaultTargets): void {
  const writes = [
    operator.repeatConfiguration,
    plain.register,
    ...engines.engines.map((engine) => () => {
      engines.repeatRegistration(engine);
    }),
  ];
  for (const write of writes) time.schedule(random() * REWRITE_MILLISECONDS, write);
}

const HANDLERS: Handlers = {
  burst: ({ callers, time }, { factor, priority, seconds }) => {
    callers.setRate(factor, priority);
    time.schedule(seconds * 1_000, () => {
      callers.setRate(1, priority);
    });
  },
  demandWave: ({ callers, time }, { amplitude, periodSeconds, seconds }) => {
    callers.setWave({ amplitude, periodSeconds });
    time.schedule(seconds * 1_000, () => {
      callers.setWave(undefined);
    });
  },
  crashEngines: (system, { count, seconds, isDark }) => {
    const { engines, random } = system;
    const loaded = listLiveEngines(engines).filter(({ layers }) => layers);
    crashTemporarily(system, pickRandom(loaded, count, random), seconds, isDark);
  },
  drainEngines: ({ engines, random, time }, { count, seconds }) => {
    const loaded = listLiveEngines(engines).filter(({ layers }) => layers);
    for (const engine of pickRandom(loaded, count, random)) {
      engines.drain(engine);
      time.schedule(seconds * 1_000, () => {
        engines.restart(engine);
      });
    }
  },
  loseZone: (system, { zone, seconds }) => {
    const name = system.site.availabilityZones[zone];
    const lost = listLiveEngines(system.engines).filter(
      ({ availabilityZone }) => availabilityZone === name,
    );
    crashTemporarily(system, lost, seconds, true);
  },
  slowEngines: ({ engines, random, time }, { count, factor, seconds }) => {
    const slow = pickRandom(listLiveEngines(engines), count, random);
    for (const engine of slow) engine.slowdown = factor;
    time.schedule(seconds * 1_000, () => {
      for (const engine of slow) engine.slowdown = 1;
    });
  },
  greyServices: ({ plain, time }, { count, share, seconds }) => {
    plain.setFailureShare(count, share);
    time.schedule(seconds * 1_000, () => {
      plain.setFailureShare(count, 0);
    });
  },
  limitEndpoints: ({ engines, plain, limits, random }, fault) => {
    const firsts = listLiveEngines(engines).filter(({ layers }) => layers?.from === 0);
    const addresses = [
      ...pickRandom(firsts, fault.engines, random).map(({ address }) => address),
      ...plain.listAddresses().slice(0, fault.plain),
    ];
    for (const address of addresses)
      limits.announce(address, fault.requestsPerSecond, fault.seconds * 1_000);
  },
  lateOrders: ({ engines, time }, { share, seconds }) => {
    engines.setLateOrderShare(share);
    time.schedule(seconds * 1_000, () => {
      engines.setLateOrderShare(0);
    });
  },
  storeAway: ({ store, nodes, random, time }, { share, seconds }) => {
    const affected = pickRandom(nodes, Math.ceil(nodes.length * share), random);
    for (const { name } of affected) store.unreachableFrom.add(name);
    time.schedule(seconds * 1_000, () => {
      for (const { name } of affected) store.unreachableFrom.delete(name);
    });
  },
  restoreStore: (system, { seconds, ageSeconds }) => {
    const { store, operator, nodes, time } = system;
    operator.setStoreAway(true);
    for (const { name } of nodes) store.unreachableFrom.add(name);
    time.schedule(seconds * 1_000, () => {
      // What endpoints wrote while the store was away is lost too.
      store.restore((ageSeconds + seconds) * 1_000);
      for (const { name } of nodes) store.unreachableFrom.delete(name);
      operator.setStoreAway(false);
      repeatWrites(system);
    });
  },
  cutNodes: ({ nodes, random, time }, { share, how, seconds }) => {
    const cut = pickRandom(nodes, Math.ceil(nodes.length * share), random);
    for (const node of cut) node.setCut(how);
    time.schedule(seconds * 1_000, () => {
      for (const node of cut) node.setCut(undefined);
    });
  },
  silenceConnections: ({ store }) => {
    store.silenceConnections();
  },
  changeConfiguration: ({ operator }) => {
    operator.changeConfiguration();
  },
  replaceNodes: ({ nodes, time }, { gapSeconds }) => {
    nodes.forEach((node, index) => {
      time.schedule(index * gapSeconds * 1_000, () => {
        node.leave();
        time.schedule(NODE_LEAVE_MILLISECONDS, () => {
          node.kill();
          time.schedule(NODE_START_MILLISECONDS, node.start);
        });
      });
    });
  },
  loseNodes: ({ nodes, random, time }, { share, seconds }) => {
    const lost = pickRandom(nodes, Math.ceil(nodes.length * share), random);
    for (const node of lost) node.kill();
    time.schedule(seconds * 1_000, () => {
      for (const node of lost) node.start();
    });
  },
};

/**
 * Schedules the faults of a day.
 *
 * @param system - parts of the system that the faults act on
 * @param day - the day; its times count from the first request
 * @param seed - seed that selects the affected engines and nodes
 * @returns nothing
 * @example
 * injectFaults(system, day, 1);
 */
export function injectFaults(
  system: Omit<FaultTargets, 'random'>,
  day: VirtualDay,
  seed: number,
): void {
  const random = createRandom(seed + 41);
  const leadMilliseconds = system.site.leadSeconds * 1_000;
  for (const fault of day.troubles) {
    system.time.schedule(leadMilliseconds + fault.at * 1_000, () => {
      const handle = HANDLERS[fault.kind] as (targets: FaultTargets, fault: InjectedFault) => void;
      handle({ ...system, random }, fault);
    });
  }
}
