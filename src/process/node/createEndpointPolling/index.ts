/**
 * Collection of endpoint state from the VM list, from engines' reports and from facts of peers.
 */
import {
  REPORT_INTERVAL_MILLISECONDS,
  VM_LIST_INTERVAL_MILLISECONDS,
} from '../../../constants/index.js';
import type { Endpoint, Fleet } from '../../../connection/createFleet/index.js';
import type { EngineReport } from '../../../types/endpoint/index.js';
import type { Fact } from '../../../types/peer/index.js';
import type { Vm } from '../../../types/platform/index.js';
import { findOwner } from '../../hashRendezvous/index.js';
import type { NodeContext } from '../createContext/index.js';
import { encodeReport, parseReport, parseVm, decodeReport } from '../peerFacts/index.js';
import { quantizeLoad } from '../quantizeLoad/index.js';

/** Options of {@link createEndpointPolling}. */
export interface CreateEndpointPollingOptions {
  readonly context: NodeContext;
  readonly fleet: Fleet;
  readonly listLiveNodes: () => readonly string[];
  readonly publishFact: (fact: Fact, isUrgent?: boolean) => void;
  readonly onVms: (vms: readonly Vm[]) => void;
  readonly onEngineRestarted: (engine: string) => void;
}

/** Endpoint polling of one node. */
export interface EndpointPolling {
  readonly start: () => void;
  readonly receiveFact: (fact: Fact) => void;
  /** Polls one engine immediately, also when another node owns its polling. */
  readonly pollNow: (engine: string) => void;
  /** Marks an endpoint as leaving and publishes this to all nodes. */
  readonly markLeaving: (endpoint: string) => void;
}

const REPORT_TIMEOUT_MILLISECONDS = 900;
const VM_LIST_NODES_PER_SECOND = 50;
const MINIMUM_LOAD_INTERVAL_MILLISECONDS = 2_000;
const MAXIMUM_FAILED_POLLS = 3;

/** Age at which a leaving fact is ignored; labels and the VM list carry the state by then. */
const LEAVING_FACT_EXPIRY_MILLISECONDS = 120_000;

/**
 * Creates the component of a node that polls the VM list and the engines.
 *
 * Each engine is polled by one owner, chosen by rendezvous hashing over the live nodes. The owner
 * publishes the report by gossip: the state when it changes, the load when its quantized value
 * changes. After a failure of an engine, each node that observed it also polls the engine itself,
 * and sends it no request until a report has arrived. The interval between reads of the VM list
 * grows with the number of nodes; changes of the list are published by gossip too.
 *
 * @param options - the context, the fleet, the live nodes and a function that publishes a fact
 * @returns the endpoint polling
 * @example
 * createEndpointPolling({ context, fleet, listLiveNodes, publishFact, onVms, onEngineRestarted }).start();
 */
export function createEndpointPolling(options: CreateEndpointPollingOptions): EndpointPolling {
  const { context, fleet, publishFact } = options;
  const publishedLoads = new Map<string, { load: number; at: number }>();
  const failedPolls = new Map<string, number>();
  let vms: readonly Vm[] = [];
  let vmListText = '';
  let liveNodes: readonly string[] = [];
  const ownership = new Map<string, boolean>();

  const publishReport = (name: string, report: EngineReport): void => {
    publishFact({
      key: `report/${name}`,
      version: context.now(),
      value: encodeReport(report),
    });
  };
  const publishLoad = (name: string, load: number): void => {
    const quantized = quantizeLoad(load);
    const last = publishedLoads.get(name);
    if (last?.load === quantized) return;
    if (last && context.now() - last.at < MINIMUM_LOAD_INTERVAL_MILLISECONDS) return;
    publishedLoads.set(name, { load: quantized, at: context.now() });
    publishFact({ key: `load/${name}`, version: context.now(), value: quantized.toString() });
  };
  const applyReport = (name: string, report: EngineReport): boolean => {
    const before = fleet.find(name)?.report;
    const epoch = fleet.epoch();
    fleet.applyReport(name, report, context.now());
    if (before && before.incarnation !== report.incarnation) options.onEngineRestarted(name);
    return fleet.epoch() !== epoch;
  };
  const refreshOwners = (): void => {
    const names = options.listLiveNodes();
    if (names.join() === liveNodes.join()) return;
    liveNodes = names;
    ownership.clear();
  };
  /** Returns whether this node owns the polling of an engine, given the live nodes of the last pass. */
  const isOwned = (name: string): boolean => {
    const known = ownership.get(name);
    if (known !== undefined) return known;
    const isOwner = findOwner(name, liveNodes) === context.node;
    ownership.set(name, isOwner);
    return isOwner;
  };
  const receiveReport = (name: string, report: EngineReport): void => {
    failedPolls.delete(name);
    const isChanged = applyReport(name, report);
    const isOwner = isOwned(name);
    if (isChanged && isOwner) publishReport(name, report);
    if (isOwner) publishLoad(name, report.active);
    if (report.leaving) markLeaving(name);
    fleet.markReachable(name);
  };
  const recordFailedPoll = (name: string): void => {
    const count = (failedPolls.get(name) ?? 0) + 1;
    failedPolls.set(name, count);
    if (count === MAXIMUM_FAILED_POLLS) fleet.updateHealth(name, 'failure', context.now());
  };
  const pollEngine = (endpoint: Endpoint): void => {
    context.callEndpoint(
      {
        address: endpoint.vm.address,
        method: 'GET',
        path: '/report',
        timeoutMilliseconds: REPORT_TIMEOUT_MILLISECONDS,
      },
      (result) => {
        const report = result.kind === 'reply' ? parseReport(result.body) : undefined;
        if (report) receiveReport(endpoint.name, report);
        else recordFailedPoll(endpoint.name);
      },
    );
  };
  const pollEngines = (): void => {
    refreshOwners();
    for (const endpoint of fleet.list()) {
      if (endpoint.kind !== 'engine') continue;
      const isOwner = isOwned(endpoint.name);
      if (isOwner || !endpoint.report || !endpoint.isReachable) pollEngine(endpoint);
    }
    context.schedule(REPORT_INTERVAL_MILLISECONDS, pollEngines);
  };
  const markLeaving = (name: string): void => {
    if (!fleet.markLeaving(name)) return;
    context.log('info', 'endpoint-leaving', { endpoint: name });
    publishFact({ key: `leaving/${name}`, version: context.now(), value: 'leaving' }, true);
  };
  const publishVmChanges = (listed: readonly Vm[]): void => {
    const known = new Map(vms.map((vm) => [vm.name, JSON.stringify(vm)]));
    if (known.size === 0) return;
    for (const vm of listed) {
      const value = JSON.stringify(vm);
      if (known.get(vm.name) !== value)
        publishFact({ key: `vm/${vm.name}`, version: context.now(), value });
    }
  };
  const applyVms = (listed: readonly Vm[]): void => {
    const text = JSON.stringify(listed);
    if (text === vmListText) return;
    vmListText = text;
    publishVmChanges(listed);
    vms = listed;
    fleet.updateVms(listed);
    options.onVms(listed);
  };
  const readVms = (): void => {
    const nodes = Math.max(1, options.listLiveNodes().length);
    const scaled = (nodes * 1_000) / VM_LIST_NODES_PER_SECOND;
    const interval = Math.max(VM_LIST_INTERVAL_MILLISECONDS, scaled);
    context.callPlatform({ kind: 'listVms' }, (result) => {
      if (result.kind === 'vms') applyVms(result.vms);
      context.schedule(interval * (0.8 + 0.4 * context.random()), readVms);
    });
  };
  const FACT_HANDLERS: Record<string, (name: string, fact: Fact) => void> = {
    load: (name, fact) => {
      fleet.applyLoad(name, Number(fact.value), context.now());
    },
    report: (name, fact) => {
      const report = decodeReport(fact.value, fleet.find(name)?.reportedLoad ?? 0);
      if (report) applyReport(name, report);
    },
    leaving: (name, fact) => {
      if (context.now() - fact.version > LEAVING_FACT_EXPIRY_MILLISECONDS) return;
      fleet.markLeaving(name);
    },
    vm: (name, fact) => {
      const vm = parseVm(fact.value);
      if (!vm || vms.some((known) => JSON.stringify(known) === fact.value)) return;
      vms = [...vms.filter((known) => known.name !== name), vm];
      fleet.updateVms(vms);
      options.onVms(vms);
    },
  };

  return {
    start: () => {
      readVms();
      context.schedule(REPORT_INTERVAL_MILLISECONDS * context.random(), pollEngines);
    },
    receiveFact: (fact) => {
      const separator = fact.key.indexOf('/');
      const handler = FACT_HANDLERS[fact.key.slice(0, separator)];
      handler?.(fact.key.slice(separator + 1), fact);
    },
    pollNow: (name) => {
      const endpoint = fleet.find(name);
      if (endpoint) pollEngine(endpoint);
    },
    markLeaving,
  };
}
