/**
 * The endpoints that a node knows: what they report, the node's own work on them, and their health.
 */
import type { EngineReport } from '../../types/endpoint/index.js';
import type { Labels } from '../../types/configuration/index.js';
import type { Vm } from '../../types/platform/index.js';
import { estimateLoad } from '../estimateLoad/index.js';
import {
  CLOSED_CIRCUIT,
  admitsCall,
  updateCircuit,
  type Circuit,
  type CircuitEvent,
} from '../updateCircuit/index.js';

/** Kinds of endpoints. */
export type EndpointKind = 'engine' | 'service';

/** One endpoint. Its fields change in place; the fleet alone writes them. */
export interface Endpoint {
  readonly kind: EndpointKind;
  readonly name: string;
  vm: Vm;
  labels: Labels;
  report: EngineReport | undefined;
  reportedAt: number;
  reportedLoad: number;
  localAtReport: number;
  own: number;
  /** Multiplies the cost of the endpoint after stalls; 1 when healthy. */
  penalty: number;
  circuit: Circuit;
  /** False from a failure until this node has read a report from the engine again. */
  isReachable: boolean;
  leaving: boolean;
}

/** The endpoints of one node. */
export interface Fleet {
  /** Grows whenever the set of endpoints, their labels or the layers that they hold change. */
  readonly epoch: () => number;
  readonly list: () => readonly Endpoint[];
  readonly find: (name: string) => Endpoint | undefined;
  readonly takeVms: (vms: readonly Vm[]) => void;
  readonly applyLabels: (labelsByObject: ReadonlyMap<string, Labels>) => void;
  readonly takeReport: (name: string, report: EngineReport, now: number) => void;
  readonly takeLoad: (name: string, load: number, now: number) => void;
  readonly markLeaving: (name: string) => boolean;
  readonly updateHealth: (name: string, event: CircuitEvent, now: number) => void;
  /** Notes that this node has read a report from the engine. */
  readonly noteReachable: (name: string) => void;
  readonly penalize: (name: string) => void;
  readonly addOwn: (name: string, change: number) => void;
  readonly estimate: (endpoint: Endpoint, now: number, nodes: number) => number;
  readonly isUsable: (endpoint: Endpoint, now: number) => boolean;
}

const PENALTY_FACTOR = 3;
const MAXIMUM_PENALTY = 27;

function readKind(vm: Vm): EndpointKind | undefined {
  const kind = vm.tags.kind;
  return kind === 'engine' || kind === 'service' ? kind : undefined;
}

function hasSameState(left: EngineReport | undefined, right: EngineReport): boolean {
  if (!left) return false;
  return (
    left.model === right.model &&
    left.version === right.version &&
    left.from === right.from &&
    left.to === right.to &&
    left.loading === right.loading &&
    left.leaving === right.leaving &&
    left.adapters.join() === right.adapters.join() &&
    left.incarnation === right.incarnation
  );
}

/**
 * Creates an empty fleet.
 *
 * @returns the fleet; it owns its endpoints and hands out live references to them
 * @example
 * const fleet = createFleet();
 * fleet.takeVms(vms);
 */
export function createFleet(): Fleet {
  const endpoints = new Map<string, Endpoint>();
  let operatorLabels: ReadonlyMap<string, Labels> = new Map();
  let ordered: readonly Endpoint[] = [];
  let epoch = 1;

  const mergeLabels = (kind: EndpointKind, vm: Vm): Labels => ({
    'availability-zone': vm.availabilityZone,
    vm: vm.name,
    ...vm.tags,
    ...operatorLabels.get(`vm/${vm.name}`),
    ...operatorLabels.get(`${kind}/${vm.tags.name ?? vm.name}`),
  });
  const relabel = (endpoint: Endpoint): void => {
    endpoint.labels = mergeLabels(endpoint.kind, endpoint.vm);
    endpoint.leaving =
      endpoint.vm.state === 'leaving' ||
      endpoint.labels.state === 'leaving' ||
      endpoint.report?.leaving === true;
  };
  const changed = (): void => {
    epoch += 1;
    ordered = [...endpoints.values()];
  };
  const addVm = (vm: Vm): boolean => {
    const kind = readKind(vm);
    if (!kind) return false;
    const name = vm.tags.name ?? vm.name;
    const known = endpoints.get(name);
    if (known && JSON.stringify(known.vm) === JSON.stringify(vm)) return false;
    const endpoint: Endpoint = known ?? {
      kind,
      name,
      vm,
      labels: {},
      report: undefined,
      reportedAt: 0,
      reportedLoad: 0,
      localAtReport: 0,
      own: 0,
      penalty: 1,
      circuit: CLOSED_CIRCUIT,
      isReachable: true,
      leaving: false,
    };
    endpoint.vm = vm;
    relabel(endpoint);
    endpoints.set(name, endpoint);
    return true;
  };
  const takeLoad = (name: string, load: number, now: number): void => {
    const endpoint = endpoints.get(name);
    if (!endpoint) return;
    endpoint.reportedLoad = load;
    endpoint.reportedAt = now;
    endpoint.localAtReport = endpoint.own;
  };

  return {
    epoch: () => epoch,
    list: () => ordered,
    find: (name) => endpoints.get(name),
    takeVms: (vms) => {
      const named = new Set(vms.map((vm) => vm.tags.name ?? vm.name));
      const added = vms.map(addVm).some(Boolean);
      const removed = [...endpoints.keys()].filter((name) => !named.has(name));
      for (const name of removed) endpoints.delete(name);
      if (added || removed.length > 0) changed();
    },
    applyLabels: (labelsByObject) => {
      operatorLabels = labelsByObject;
      for (const endpoint of endpoints.values()) relabel(endpoint);
      changed();
    },
    takeReport: (name, report, now) => {
      const endpoint = endpoints.get(name);
      if (!endpoint) return;
      const isSame = hasSameState(endpoint.report, report);
      endpoint.report = report;
      takeLoad(name, report.active, now);
      if (isSame) return;
      relabel(endpoint);
      changed();
    },
    takeLoad,
    markLeaving: (name) => {
      const endpoint = endpoints.get(name);
      if (!endpoint || endpoint.leaving) return false;
      endpoint.leaving = true;
      changed();
      return true;
    },
    updateHealth: (name, event, now) => {
      const endpoint = endpoints.get(name);
      if (!endpoint) return;
      endpoint.circuit = updateCircuit(endpoint.circuit, event, now);
      if (event === 'failure') endpoint.isReachable = false;
      if (event === 'success') endpoint.penalty = Math.max(1, endpoint.penalty * 0.9);
    },
    noteReachable: (name) => {
      const endpoint = endpoints.get(name);
      if (endpoint) endpoint.isReachable = true;
    },
    penalize: (name) => {
      const endpoint = endpoints.get(name);
      if (!endpoint) return;
      endpoint.penalty = Math.min(MAXIMUM_PENALTY, endpoint.penalty * PENALTY_FACTOR);
    },
    addOwn: (name, change) => {
      const endpoint = endpoints.get(name);
      if (endpoint) endpoint.own = Math.max(0, endpoint.own + change);
    },
    estimate: (endpoint, now, nodes) =>
      estimateLoad({
        local: endpoint.own,
        localAtReport: endpoint.localAtReport,
        reported: endpoint.reportedLoad,
        ageMilliseconds: now - endpoint.reportedAt,
        nodes,
      }),
    isUsable: (endpoint, now) => {
      if (endpoint.leaving || !admitsCall(endpoint.circuit, now)) return false;
      return endpoint.kind === 'service' || endpoint.isReachable;
    },
  };
}
