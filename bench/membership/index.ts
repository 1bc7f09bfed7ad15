/**
 * Measures the cost of membership, gossip and polling per node by number of nodes, and the time
 * until all nodes detect a failed node.
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

/** Costs per node at one number of nodes. */
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
/** Maximum number of nodes whose view is checked while the failure of a node spreads. */
const MAXIMUM_OBSERVERS = 30;
const LOAD_INTERVAL_MILLISECONDS = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;
/** Frame, header and metadata bytes of a unary call, in addition to its message. */
const CALL_OVERHEAD_BYTES = 110;
const SIZES = [6, 50, 150];
const TARGET_NODES = 350;
const MAXIMUM_BYTES_PER_SECOND = 6_144;
const MAXIMUM_PROCESSOR_PERCENT = 1.8;
const MAXIMUM_MEGABYTES = 64;
/**
 * Encodes one message in this many, so that counting bytes adds little to the measured processor
 * time.
 */
const SAMPLE_INTERVAL = 10;
const READ_CALLS = new Set(['get', 'list', 'watch', 'listVms']);

function createTargetFleet(): VirtualFleet {
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

/** Varies the loads of all engines at random, as under traffic. */
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
  const killedNode = system.nodeNames.at(-1) ?? '';
  const killedAt = system.queue.now();
  system.kill(killedNode);
  while (system.queue.now() - killedAt < DETECTION_LIMIT_MILLISECONDS) {
    system.run(DETECTION_STEP_MILLISECONDS);
    const observers = system.nodeNames
      .slice(0, MAXIMUM_OBSERVERS)
      .filter((name) => name !== killedNode);
    if (countDetecting(system, observers, killedNode) === observers.length)
      return (system.queue.now() - killedAt) / 1_000;
  }
  return Infinity;
}

function countDetecting(
  system: VirtualSystem,
  observers: readonly string[],
  killedNode: string,
): number {
  return observers.filter((name) => {
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
    return body.includes(`{"node":"${killedNode}","state":"dead"`);
  }).length;
}

/** Measures the costs at one number of nodes. */
export function measureSize(nodes: number): MembershipCost {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const fleet = createTargetFleet();
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
      if (messages % SAMPLE_INTERVAL !== 0) return;
      const size = encode(message).length + CALL_OVERHEAD_BYTES;
      bytes.set(from, (bytes.get(from) ?? 0) + size * SAMPLE_INTERVAL);
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
  const processorUsage = process.cpuUsage(processorBefore);
  isCounting = false;
  const seconds = RUN_MILLISECONDS / 1_000;
  const calls = Object.entries(system.platform.counts()).map(([kind, count]) => ({
    kind,
    rate: (count - (before[kind] ?? 0)) / seconds,
  }));
  const sumRates = (isRead: boolean): number =>
    calls
      .filter(({ kind }) => READ_CALLS.has(kind) === isRead)
      .reduce((sum, { rate }) => sum + rate, 0);
  const total = [...bytes.values()].reduce((sum, value) => sum + value, 0);
  const detectionSeconds = measureDetection(system);
  return {
    nodes,
    sentBytes: Math.round(total / nodes / seconds),
    busiestBytes: Math.round(Math.max(...bytes.values()) / seconds),
    messages: round(messages / nodes / seconds, 2),
    processorPercent: round(
      (processorUsage.user + processorUsage.system) / 10_000 / nodes / seconds,
      3,
    ),
    memoryMegabytes: round(memory / nodes / BYTES_PER_MEGABYTE, 2),
    storeReads: round(sumRates(true), 1),
    storeWrites: round(sumRates(false), 1),
    detectionSeconds: round(detectionSeconds, 1),
    falseSuspicions: suspicions,
  };
}

/** Measures the costs at 6, 50 and 150 nodes. */
export function measureMembership(): Measurement {
  return createMeasurement(SIZES.map(measureSize));
}

/** Measures the costs at the target of 350 nodes only; takes about four minutes. */
export function measureLargeMembership(): Measurement {
  return createMeasurement([measureSize(TARGET_NODES)]);
}

function createMeasurement(costs: readonly MembershipCost[]): Measurement {
  const largest = costs.at(-1);
  if (!largest) throw new Error('no number of nodes was measured');
  const at = `${largest.nodes.toString()} nodes`;
  return {
    rows: costs.map((cost) => ({ ...cost })),
    targets: [
      {
        name: `bytes sent a second and node at ${at}`,
        target: `at most ${MAXIMUM_BYTES_PER_SECOND.toString()}`,
        measured: largest.sentBytes.toString(),
        isMet: largest.sentBytes <= MAXIMUM_BYTES_PER_SECOND,
      },
      {
        name: `processor of the decisions at ${at}, of a core`,
        target: `at most ${MAXIMUM_PROCESSOR_PERCENT.toString()}%`,
        measured: `${largest.processorPercent.toString()}%`,
        isMet: largest.processorPercent <= MAXIMUM_PROCESSOR_PERCENT,
      },
      {
        name: `memory of the decisions at ${at} and 650 engines`,
        target: `at most ${MAXIMUM_MEGABYTES.toString()} MB`,
        measured: `${largest.memoryMegabytes.toString()} MB`,
        isMet: largest.memoryMegabytes <= MAXIMUM_MEGABYTES,
      },
    ],
  };
}
