/**
 * What membership, gossip and polling cost a node, by number of nodes, and how soon a death is seen.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { encode } from '@msgpack/msgpack';
import { createRandom } from '../../src/process/createRandom/index.js';
import {
  createVirtualEngine,
  createVirtualFleet,
  type VirtualFleet,
} from '../../standins/createVirtualFleet/index.js';
import {
  createVirtualSystem,
  type VirtualSystem,
} from '../../standins/createVirtualSystem/index.js';
import { round, type Measurement } from '../types.js';

/** What one size costs, for each node. */
export interface MembershipCost {
  readonly nodes: number;
  readonly sentBytes: number;
  readonly busiestBytes: number;
  readonly messages: number;
  readonly processorPercent: number;
  readonly memoryMegabytes: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly detectionSeconds: number;
  readonly falseSuspicions: number;
}

const ENGINES = 650;
const MODELS = 38;
const SETTLE_MILLISECONDS = 45_000;
const RUN_MILLISECONDS = 15_000;
const DETECTION_LIMIT_MILLISECONDS = 30_000;
const DETECTION_STEP_MILLISECONDS = 250;
/** Nodes whose view is read while a death spreads. */
const LARGEST_VIEWERS = 30;
const LOAD_INTERVAL_MILLISECONDS = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;
/** Frame, header and metadata bytes of one unary call, besides its message. */
const CALL_OVERHEAD_BYTES = 110;
const SIZES = [6, 50, 150];
const LARGEST_SIZE = 350;
const BUDGET_BYTES = 6_144;
const BUDGET_PERCENT = 1.8;
const BUDGET_MEGABYTES = 64;
/** One message in this many is encoded, so that counting does not count as work. */
const SAMPLED_MESSAGES = 10;
const READS = new Set(['get', 'list', 'watch', 'listVms']);

function createLargeFleet(): VirtualFleet {
  const engines = Array.from({ length: ENGINES }, (_, index) =>
    createVirtualEngine({
      name: `engine-${index.toString()}`,
      from: (index % 4) * 12,
      to: (index % 4) * 12 + 12,
      model: `model-${(index % MODELS).toString()}`,
    }),
  );
  return createVirtualFleet({ engines, services: 0 });
}

/** Lets the loads of all engines wander, as under traffic. */
function varyLoads(fleet: VirtualFleet, system: VirtualSystem): void {
  const random = createRandom(9);
  const vary = (): void => {
    for (const engine of fleet.engines.values()) {
      engine.active = Math.max(0, Math.round(engine.active * 0.8 + random() * 12));
    }
    system.queue.schedule(LOAD_INTERVAL_MILLISECONDS, vary);
  };
  vary();
}

function measureDetection(system: VirtualSystem): number {
  const victim = system.nodeNames.at(-1) ?? '';
  const killedAt = system.queue.now();
  system.kill(victim);
  while (system.queue.now() - killedAt < DETECTION_LIMIT_MILLISECONDS) {
    system.run(DETECTION_STEP_MILLISECONDS);
    const viewers = system.nodeNames.slice(0, LARGEST_VIEWERS).filter((name) => name !== victim);
    if (countKnowing(system, viewers, victim) === viewers.length)
      return (system.queue.now() - killedAt) / 1_000;
  }
  return Infinity;
}

function countKnowing(system: VirtualSystem, viewers: readonly string[], victim: string): number {
  return viewers.filter((name) => {
    const request = `view-${name}`;
    system.dispatch(name, {
      kind: 'operatorRequest',
      request,
      method: 'GET',
      path: '/v1/status',
      body: '',
    });
    const body = system.responses.get(request)?.body ?? '';
    system.responses.delete(request);
    return body.includes(`{"node":"${victim}","state":"dead"`);
  }).length;
}

/** Measures one size. */
export function measureSize(nodes: number): MembershipCost {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const fleet = createLargeFleet();
  const bytes = new Map<string, number>();
  let messages = 0;
  let suspicions = 0;
  let isCounting = false;
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const system = createVirtualSystem({
    nodes,
    createEndpoints: fleet.createEndpoints,
    availabilityZones: ['a', 'b', 'c', 'd'],
    onMessage: (from, _to, message) => {
      if (!isCounting) return;
      messages += 1;
      if (messages % SAMPLED_MESSAGES !== 0) return;
      const size = encode(message).length + CALL_OVERHEAD_BYTES;
      bytes.set(from, (bytes.get(from) ?? 0) + size * SAMPLED_MESSAGES);
    },
    onEffect: (_node, effect) => {
      if (!isCounting || effect.kind !== 'log') return;
      if (effect.event === 'member-state') suspicions += 1;
    },
  });
  system.platform.setVms(fleet.vms);
  system.nodeNames.forEach(system.start);
  varyLoads(fleet, system);
  system.run(SETTLE_MILLISECONDS);
  collectGarbage();
  const memory = process.memoryUsage().heapUsed - heapBefore;
  const before = { ...system.platform.counts() };
  isCounting = true;
  const processorBefore = process.cpuUsage();
  system.run(RUN_MILLISECONDS);
  const used = process.cpuUsage(processorBefore);
  isCounting = false;
  const seconds = RUN_MILLISECONDS / 1_000;
  const calls = Object.entries(system.platform.counts()).map(([kind, count]) => ({
    kind,
    rate: (count - (before[kind] ?? 0)) / seconds,
  }));
  const sumRates = (isRead: boolean): number =>
    calls.filter(({ kind }) => READS.has(kind) === isRead).reduce((sum, { rate }) => sum + rate, 0);
  const total = [...bytes.values()].reduce((sum, value) => sum + value, 0);
  const detectionSeconds = measureDetection(system);
  return {
    nodes,
    sentBytes: Math.round(total / nodes / seconds),
    busiestBytes: Math.round(Math.max(...bytes.values()) / seconds),
    messages: round(messages / nodes / seconds, 2),
    processorPercent: round((used.user + used.system) / 10_000 / nodes / seconds, 3),
    memoryMegabytes: round(memory / nodes / BYTES_PER_MEGABYTE, 2),
    storeReads: round(sumRates(true), 1),
    storeWrites: round(sumRates(false), 1),
    detectionSeconds: round(detectionSeconds, 1),
    falseSuspicions: suspicions,
  };
}

/** Measures three sizes. */
export function measureMembership(): Measurement {
  return judge(SIZES.map(measureSize));
}

/** Measures the target's number of nodes alone; it takes about four minutes. */
export function measureLargeMembership(): Measurement {
  return judge([measureSize(LARGEST_SIZE)]);
}

function judge(costs: readonly MembershipCost[]): Measurement {
  const largest = costs.at(-1);
  if (!largest) throw new Error('no size was measured');
  const at = `${largest.nodes.toString()} nodes`;
  return {
    rows: costs.map((cost) => ({ ...cost })),
    targets: [
      {
        name: `bytes sent a second and node at ${at}`,
        target: `at most ${BUDGET_BYTES.toString()}`,
        measured: largest.sentBytes.toString(),
        isMet: largest.sentBytes <= BUDGET_BYTES,
      },
      {
        name: `processor of the decisions at ${at}, of a core`,
        target: `at most ${BUDGET_PERCENT.toString()}%`,
        measured: `${largest.processorPercent.toString()}%`,
        isMet: largest.processorPercent <= BUDGET_PERCENT,
      },
      {
        name: `memory of the decisions at ${at} and 650 engines`,
        target: `at most ${BUDGET_MEGABYTES.toString()} MB`,
        measured: `${largest.memoryMegabytes.toString()} MB`,
        isMet: largest.memoryMegabytes <= BUDGET_MEGABYTES,
      },
    ],
  };
}
