/**
 * What a node learns of its endpoints: the VM list, engines' reports, and what peers tell of them.
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
import { packReport, parseReport, parseVm, unpackReport } from '../peerFacts/index.js';
import { quantizeLoad } from '../quantizeLoad/index.js';

/** Options of {@link createPolling}. */
export interface CreatePollingOptions {
  readonly context: NodeContext;
  readonly fleet: Fleet;
  readonly listAlive: () => readonly string[];
  readonly tell: (fact: Fact, isUrgent?: boolean) => void;
  readonly onVms: (vms: readonly Vm[]) => void;
  readonly onEngineRestarted: (engine: string) => void;
}

/** The polling of one node. */
export interface Polling {
  readonly start: () => void;
  readonly takeFact: (fact: Fact) => void;
  /** Polls one engine at once, whoever owns its polling. */
  readonly pollNow: (engine: string) => void;
  /** Marks an endpoint as leaving here and everywhere. */
  readonly markLeaving: (endpoint: string) => void;
}

const REPORT_TIMEOUT_MILLISECONDS = 900;
const VM_LIST_NODES_PER_SECOND = 50;
const LEAST_LOAD_INTERVAL_MILLISECONDS = 2_000;
const LARGEST_SILENCE = 3;

/** Age after which a told departure no longer counts; labels and the VM list say it by then. */
const LEAVING_FACT_MILLISECONDS = 120_000;

/**
 * Creates the polling of one node.
 *
 * After a failure, a node polls the engine itself and sends it no request until a report has come.
 * Each engine is otherwise polled by one owner, by rendezvous hashing over live nodes; what it reports spreads
 * by gossip: the state when it changes, the load when its quantized value changes. The VM list is
 * read more rarely the more nodes there are; news in it spreads by gossip too.
 *
 * @param options - the context, the fleet, the live nodes and the way to tell peers
 * @returns the polling
 * @example
 * createPolling({ context, fleet, listAlive, tell, onVms, onEngineRestarted }).start();
 */
export function createPolling(options: CreatePollingOptions): Polling {
  const { context, fleet, tell } = options;
  const told = new Map<string, { load: number; at: number }>();
  const silences = new Map<string, number>();
  let vms: readonly Vm[] = [];
  let vmText = '';
  let alive: readonly string[] = [];
  const owned = new Map<string, boolean>();

  const tellReport = (name: string, report: EngineReport): void => {
    tell({
      key: `report/${name}`,
      version: context.now(),
      value: packReport(report),
    });
  };
  const tellLoad = (name: string, load: number): void => {
    const quantized = quantizeLoad(load);
    const last = told.get(name);
    if (last?.load === quantized) return;
    if (last && context.now() - last.at < LEAST_LOAD_INTERVAL_MILLISECONDS) return;
    told.set(name, { load: quantized, at: context.now() });
    tell({ key: `load/${name}`, version: context.now(), value: quantized.toString() });
  };
  const takeReport = (name: string, report: EngineReport): boolean => {
    const before = fleet.find(name)?.report;
    const epoch = fleet.epoch();
    fleet.takeReport(name, report, context.now());
    if (before && before.incarnation !== report.incarnation) options.onEngineRestarted(name);
    return fleet.epoch() !== epoch;
  };
  const refreshOwners = (): void => {
    const names = options.listAlive();
    if (names.join() === alive.join()) return;
    alive = names;
    owned.clear();
  };
  /** Tells whether this node owns the polling of an engine, by the nodes alive at the last pass. */
  const isOwned = (name: string): boolean => {
    const known = owned.get(name);
    if (known !== undefined) return known;
    const isOwn = findOwner(name, alive) === context.node;
    owned.set(name, isOwn);
    return isOwn;
  };
  const receiveReport = (name: string, report: EngineReport): void => {
    silences.delete(name);
    const isNews = takeReport(name, report);
    const isOwn = isOwned(name);
    if (isNews && isOwn) tellReport(name, report);
    if (isOwn) tellLoad(name, report.active);
    if (report.leaving) markLeaving(name);
    fleet.noteReachable(name);
  };
  const noteSilence = (name: string): void => {
    const count = (silences.get(name) ?? 0) + 1;
    silences.set(name, count);
    if (count === LARGEST_SILENCE) fleet.updateHealth(name, 'failure', context.now());
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
        else noteSilence(endpoint.name);
      },
    );
  };
  const pollEngines = (): void => {
    refreshOwners();
    for (const endpoint of fleet.list()) {
      if (endpoint.kind !== 'engine') continue;
      const isOwn = isOwned(endpoint.name);
      if (isOwn || !endpoint.report || !endpoint.isReachable) pollEngine(endpoint);
    }
    context.schedule(REPORT_INTERVAL_MILLISECONDS, pollEngines);
  };
  const markLeaving = (name: string): void => {
    if (!fleet.markLeaving(name)) return;
    context.log('info', 'endpoint-leaving', { endpoint: name });
    tell({ key: `leaving/${name}`, version: context.now(), value: 'leaving' }, true);
  };
  const tellVmNews = (listed: readonly Vm[]): void => {
    const known = new Map(vms.map((vm) => [vm.name, JSON.stringify(vm)]));
    if (known.size === 0) return;
    for (const vm of listed) {
      const value = JSON.stringify(vm);
      if (known.get(vm.name) !== value)
        tell({ key: `vm/${vm.name}`, version: context.now(), value });
    }
  };
  const takeVms = (listed: readonly Vm[]): void => {
    const text = JSON.stringify(listed);
    if (text === vmText) return;
    vmText = text;
    tellVmNews(listed);
    vms = listed;
    fleet.takeVms(listed);
    options.onVms(listed);
  };
  const readVms = (): void => {
    const nodes = Math.max(1, options.listAlive().length);
    const scaled = (nodes * 1_000) / VM_LIST_NODES_PER_SECOND;
    const interval = Math.max(VM_LIST_INTERVAL_MILLISECONDS, scaled);
    context.callPlatform({ kind: 'listVms' }, (result) => {
      if (result.kind === 'vms') takeVms(result.vms);
      context.schedule(interval * (0.8 + 0.4 * context.random()), readVms);
    });
  };
  const FACT_HANDLERS: Record<string, (name: string, fact: Fact) => void> = {
    load: (name, fact) => {
      fleet.takeLoad(name, Number(fact.value), context.now());
    },
    report: (name, fact) => {
      const report = unpackReport(fact.value, fleet.find(name)?.reportedLoad ?? 0);
      if (report) takeReport(name, report);
    },
    leaving: (name, fact) => {
      if (context.now() - fact.version > LEAVING_FACT_MILLISECONDS) return;
      fleet.markLeaving(name);
    },
    vm: (name, fact) => {
      const vm = parseVm(fact.value);
      if (!vm || vms.some((known) => JSON.stringify(known) === fact.value)) return;
      vms = [...vms.filter((known) => known.name !== name), vm];
      fleet.takeVms(vms);
      options.onVms(vms);
    },
  };

  return {
    start: () => {
      readVms();
      context.schedule(REPORT_INTERVAL_MILLISECONDS * context.random(), pollEngines);
    },
    takeFact: (fact) => {
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
