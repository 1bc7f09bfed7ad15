/**
 * Endpoints that a node knows, with their reports, their load from this node and their health.
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

/** Kind of an endpoint. */
export type EndpointKind = 'engine' | 'service';

/** Endpoint, which only the fleet updates, in place. */
export interface Endpoint {
  readonly kind: EndpointKind;
  readonly name: string;
  vm: Vm;
  labels: Labels;
  report: EngineReport | undefined;
  reportedAt: number;
  reportedLoad: number;
  /** Number of sequences of this node at the time of the last report. */
  localAtReport: number;
  /** Number of active sequences of this node. */
  localSequences: number;
  /** Factor on the cost of the endpoint after stalls; 1 when it is healthy. */
  penalty: number;
  circuit: Circuit;
  /** False after a failure until this node has read a report of the engine. */
  isReachable: boolean;
  leaving: boolean;
}

/** Fleet of one node. */
export interface Fleet {
  /** Returns a number that grows when the set of endpoints, their labels or their layers change. */
  readonly epoch: () => number;
  readonly list: () => readonly Endpoint[];
  readonly find: (name: string) => Endpoint | undefined;
  /** Replaces the list of VMs. */
  readonly updateVms: (vms: readonly Vm[]) => void;
  /** Replaces the operators' labels. */
  readonly applyLabels: (labelsByObject: ReadonlyMap<string, Labels>) => void;
  readonly applyReport: (name: string, report: EngineReport, now: number) => void;
  readonly applyLoad: (name: string, load: number, now: number) => void;
  /** Marks an endpoint as leaving; returns true when the state changed. */
  readonly markLeaving: (name: string) => boolean;
  readonly updateHealth: (name: string, event: CircuitEvent, now: number) => void;
  /** Records that this node has read a report of the engine. */
  readonly markReachable: (name: string) => void;
  /** Increases the cost of an endpoint after a stall. */
  readonly penalize: (name: string) => void;
  /** Changes the number of this node's active sequences on an endpoint. */
  readonly addLocalSequences: (name: string, change: number) => void;
  /** Estimates the number of active sequences on an endpoint. */
  readonly estimate: (endpoint: Endpoint, now: number, nodes: number) => number;
  /** Returns whether an endpoint accepts new calls. */
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
 * @returns the fleet, which returns references to endpoints that it keeps updating
 * @example
 * const fleet = createFleet();
 * fleet.updateVms(vms);
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
  const advanceEpoch = (): void => {
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
      localSequences: 0,
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
  const applyLoad = (name: string, load: number, now: number): void => {
    const endpoint = endpoints.get(name);
    if (!endpoint) return;
    endpoint.reportedLoad = load;
    endpoint.reportedAt = now;
    endpoint.localAtReport = endpoint.localSequences;
  };

  return {
    epoch: () => epoch,
    list: () => ordered,
    find: (name) => endpoints.get(name),
    updateVms: (vms) => {
      const listedNames = new Set(vms.map((vm) => vm.tags.name ?? vm.name));
      const added = vms.map(addVm).some(Boolean);
      const removed = [...endpoints.keys()].filter((name) => !listedNames.has(name));
      for (const name of removed) endpoints.delete(name);
      if (added || removed.length > 0) advanceEpoch();
    },
    applyLabels: (labelsByObject) => {
      operatorLabels = labelsByObject;
      for (const endpoint of endpoints.values()) relabel(endpoint);
      advanceEpoch();
    },
    applyReport: (name, report, now) => {
      const endpoint = endpoints.get(name);
      if (!endpoint) return;
      const isSame = hasSameState(endpoint.report, report);
      endpoint.report = report;
      applyLoad(name, report.active, now);
      if (isSame) return;
      relabel(endpoint);
      advanceEpoch();
    },
    applyLoad,
    markLeaving: (name) => {
      const endpoint = endpoints.get(name);
      if (!endpoint || endpoint.leaving) return false;
      endpoint.leaving = true;
      advanceEpoch();
      return true;
    },
    updateHealth: (name, event, now) => {
      const endpoint = endpoints.get(name);
      if (!endpoint) return;
      endpoint.circuit = updateCircuit(endpoint.circuit, event, now);
      if (event === 'failure') endpoint.isReachable = false;
      if (event === 'success') endpoint.penalty = Math.max(1, endpoint.penalty * 0.9);
    },
    markReachable: (name) => {
      const endpoint = endpoints.get(name);
      if (endpoint) endpoint.isReachable = true;
    },
    penalize: (name) => {
      const endpoint = endpoints.get(name);
      if (!endpoint) return;
      endpoint.penalty = Math.min(MAXIMUM_PENALTY, endpoint.penalty * PENALTY_FACTOR);
    },
    addLocalSequences: (name, change) => {
      const endpoint = endpoints.get(name);
      if (endpoint) endpoint.localSequences = Math.max(0, endpoint.localSequences + change);
    },
    estimate: (endpoint, now, nodes) =>
      estimateLoad({
        local: endpoint.localSequences,
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
