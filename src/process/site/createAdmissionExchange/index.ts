/**
 * Shares of capacity by priority on one node: measures its demand, exchanges it with other nodes, and computes the
 * shares from the demand of all.
 */
import {
  computeAdmissionShares,
  type ServiceCapacity,
} from '../../../request/computeAdmissionShares/index.js';
import {
  createDemandMeter,
  type DemandedRequest,
  type DemandMeter,
} from '../../../request/createDemandMeter/index.js';
import type { PriorityDemand, ServiceDemand } from '../../../types/admission/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import { decodeDemands, encodeDemands, MAXIMUM_DEMAND_PRIORITIES } from '../demandCodec/index.js';
import { tagNode } from '../peerMessageCodec/index.js';
import { countByZone, sumDemands, type NodeDemand } from '../sumDemands/index.js';

/** Share that changed, for the log. */
export interface ShareChange {
  readonly service: string;
  readonly priority: number;
  readonly before: number;
  readonly share: number;
  /** Demand of all nodes for the service, in requests per second. */
  readonly requestsPerSecond: number;
}

/** Options of {@link createAdmissionExchange}. */
export interface CreateAdmissionExchangeOptions {
  readonly self: Pick<NodeRecord, 'name' | 'incarnation' | 'availabilityZone'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly random: () => number;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => readonly NodeRecord[];
  /** Returns the node with a tag. */
  readonly findNode: (tag: number) => { readonly name: string } | undefined;
  /** Returns the priorities of each service that takes part, in ascending order; the same map until it changes. */
  readonly listServices: () => ReadonlyMap<string, readonly number[]>;
  readonly findCapacity: (service: string) => ServiceCapacity;
  /** Estimates the stay of a usual request, in milliseconds, for the time until one has ended. */
  readonly estimateStay: (service: string) => number;
  /** {@link computeAdmissionShares} by default. */
  readonly computeShares?: typeof computeAdmissionShares;
  readonly send: (address: string, numbers: readonly number[]) => void;
  /** Called when a share has changed by more than a tenth. */
  readonly onChange: (change: ShareChange) => void;
}

/** Share of a priority, for gauges. */
export interface PriorityShare {
  readonly service: string;
  readonly priority: number;
  readonly share: number;
}

/** Shares of one node. */
export interface AdmissionExchange {
  /** Returns the share of slots and memory that a priority may fill; 1 where a service has one priority. */
  readonly findShare: (service: string, priority: number) => number;
  /** Records a request of a caller of this node, served or not. */
  readonly record: (service: string, request: DemandedRequest) => void;
  /** Records that a request uses capacity; returns a function that records its end, once. */
  readonly hold: (service: string, request: DemandedRequest) => () => void;
  /** Applies the demand of another node. */
  readonly receive: (numbers: readonly number[]) => void;
  /** Computes the shares of the next round, and sends the demand of this node to others. */
  readonly step: () => void;
  readonly listShares: () => PriorityShare[];
}

/** Number of nodes that a node sends its demand to in each round. */
const MAXIMUM_FANOUT = 8;
/** Number of priorities that all messages of a round contain together, so that many priorities cost no more. */
const MAXIMUM_SENT_PRIORITIES = 48;
/** How long a node's report stays valid, in milliseconds. */
const REPORT_EXPIRY_MILLISECONDS = 2_500;
/**
 * Share of less urgent priorities on a node that has just started beside others. It rises with each round, while the
 * node hears of their demand.
 */
const START_SHARE = 0.5;
/** Time after which the share of such a node is released where nobody demands the service, in milliseconds. */
const START_MILLISECONDS = 1_000;
/** Change of a share that is logged. */
const LOGGED_CHANGE = 0.1;
/**
 * Share of the demand from which a priority counts, so that a few requests on a route of another priority neither limit
 * nor cost the others anything.
 */
const CONTENDING_SHARE = 0.05;
/** Demand below which a service counts as unused, in requests per second of one node. */
const MINIMUM_PER_SECOND = 0.01;

interface ServiceState {
  readonly priorities: readonly number[];
  readonly meter: DemandMeter;
  readonly reports: Map<string, { readonly at: number; readonly demand: ServiceDemand }>;
  shares: Map<number, number>;
  /** Shares that were logged last, by priority. */
  readonly logged: Map<number, number>;
}

function isDemanded({ priorities }: ServiceDemand): boolean {
  return priorities.some(
    ({ requestsPerSecond, heldRequests }) =>
      requestsPerSecond >= MINIMUM_PER_SECOND || heldRequests > 0,
  );
}

/** Adds the priorities of the configuration that nobody demands now. */
function addMissingPriorities(
  demanded: readonly PriorityDemand[],
  priorities: readonly number[],
): PriorityDemand[] {
  const known = new Set(demanded.map(({ priority }) => priority));
  const missing = priorities.filter((priority) => !known.has(priority));
  return [
    ...demanded,
    ...missing.map((priority) => ({
      priority,
      requestsPerSecond: 0,
      tokenLayersPerSecond: 0,
      heldRequests: 0,
      heldTokenLayers: 0,
    })),
  ];
}

/** Returns whether several priorities have more than a negligible part of the demand. */
function isContended({ priorities }: ServiceDemand): boolean {
  const total = priorities.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
  const least = Math.max(MINIMUM_PER_SECOND, CONTENDING_SHARE * total);
  return priorities.filter(({ requestsPerSecond }) => requestsPerSecond >= least).length > 1;
}

function createStartShares(priorities: readonly number[]): Map<number, number> {
  return new Map(priorities.map((priority, index) => [priority, index === 0 ? 1 : START_SHARE]));
}

/**
 * Creates the shares of a node that knows no demand.
 *
 * @param options - this node, the other nodes, the services that take part and the way to send
 * @returns the shares
 * @example
 * createAdmissionExchange(options).findShare('assistant', 3); // 0.8
 */
export function createAdmissionExchange(
  options: CreateAdmissionExchangeOptions,
): AdmissionExchange {
  const { self, clock, random, listAlive, findNode, listServices, send, onChange } = options;
  const { computeShares = computeAdmissionShares } = options;
  const createdAt = clock.now();
  const tag = tagNode(self);
  const states = new Map<string, ServiceState>();
  const namesByTag = new Map<number, string>();
  let services: ReadonlyMap<string, readonly number[]> | undefined;

  const isStarting = (): boolean =>
    clock.now() - createdAt < START_MILLISECONDS && listAlive().length > 1;
  const createState = (priorities: readonly number[], former?: ServiceState): ServiceState => ({
    meter: createDemandMeter({ startedAt: clock.now() }),
    reports: new Map(),
    shares: isStarting() ? createStartShares(priorities) : new Map<number, number>(),
    logged: new Map(),
    ...former,
    priorities,
  });
  /** Applies a change of the configuration. */
  const refresh = (): void => {
    const current = listServices();
    if (current === services) return;
    services = current;
    for (const name of states.keys()) if (!current.has(name)) states.delete(name);
    for (const [name, priorities] of current)
      states.set(name, createState(priorities, states.get(name)));
    namesByTag.clear();
    for (const name of current.keys()) namesByTag.set(hashText(name), name);
  };
  const findState = (service: string): ServiceState | undefined => {
    refresh();
    return states.get(service);
  };
  const logChanges = (service: string, state: ServiceState, demand: ServiceDemand): void => {
    for (const [priority, share] of state.shares) {
      const before = state.logged.get(priority) ?? 1;
      if (Math.abs(share - before) <= LOGGED_CHANGE) continue;
      state.logged.set(priority, share);
      const requestsPerSecond = demand.priorities.reduce(
        (sum, entry) => sum + entry.requestsPerSecond,
        0,
      );
      onChange({ service, priority, before, share, requestsPerSecond });
    }
  };
  /** Lists the valid reports of live nodes, and forgets the others. */
  const listReported = (
    { reports }: ServiceState,
    zones: ReadonlyMap<string, string>,
  ): NodeDemand[] => {
    const reported: NodeDemand[] = [];
    for (const [name, { at, demand }] of reports) {
      const availabilityZone = zones.get(name);
      if (availabilityZone === undefined || clock.now() - at > REPORT_EXPIRY_MILLISECONDS)
        reports.delete(name);
      else reported.push({ availabilityZone, demand });
    }
    return reported;
  };
  /** Computes the shares of a service; returns this node's demand, or undefined when nobody demands the service. */
  const update = (
    service: string,
    state: ServiceState,
    alive: readonly NodeRecord[],
  ): ServiceDemand | undefined => {
    const own = state.meter.read(clock.now());
    if (state.reports.size === 0 && !isDemanded(own)) {
      if (!isStarting()) state.shares = new Map();
      return undefined;
    }
    const others = alive.filter(({ name }) => name !== self.name);
    const zones = new Map(others.map(({ name, availabilityZone }) => [name, availabilityZone]));
    const { availabilityZone } = self;
    const reported = [{ availabilityZone, demand: own }, ...listReported(state, zones)];
    const sum = sumDemands(reported, countByZone(alive));
    if (!isContended(sum)) {
      if (!isStarting()) state.shares = new Map();
      return undefined;
    }
    const demand = {
      stayMilliseconds: sum.stayMilliseconds || options.estimateStay(service),
      priorities: addMissingPriorities(sum.priorities, state.priorities),
    };
    const capacity = options.findCapacity(service);
    state.shares = computeShares({ demand, capacity, previous: state.shares });
    logChanges(service, state, demand);
    return isDemanded(sum) ? own : undefined;
  };
  /** Selects demands for one message of a bounded size; with too many services, a random part of them. */
  const selectDemands = (
    demands: ReadonlyMap<string, ServiceDemand>,
  ): { readonly selected: Map<string, ServiceDemand>; readonly entries: number } => {
    const selected = new Map<string, ServiceDemand>();
    let entries = 0;
    for (const [service, demand] of shuffleItems([...demands], random)) {
      if (entries + demand.priorities.length > MAXIMUM_DEMAND_PRIORITIES) continue;
      entries += demand.priorities.length;
      selected.set(service, demand);
    }
    return { selected, entries };
  };
  const sendDemands = (
    demands: ReadonlyMap<string, ServiceDemand>,
    alive: readonly NodeRecord[],
  ): void => {
    const { selected, entries } = selectDemands(demands);
    const fanout = Math.min(
      MAXIMUM_FANOUT,
      Math.floor(MAXIMUM_SENT_PRIORITIES / Math.max(1, entries)),
    );
    const numbers = encodeDemands(tag, selected);
    const others = alive.filter(({ name }) => name !== self.name);
    for (const { peerAddress } of shuffleItems(others, random).slice(0, fanout))
      send(peerAddress, numbers);
  };

  return {
    findShare: (service, priority) => {
      const state = findState(service);
      if (!state || priority <= (state.priorities[0] ?? priority)) return 1;
      const share = state.shares.get(priority);
      if (share !== undefined) return share;
      // A priority that the configuration does not list, while it changes, counts as the next more urgent one.
      const moreUrgent = [...state.shares].filter(([known]) => known < priority);
      return Math.min(1, ...moreUrgent.map(([, known]) => known));
    },
    record: (service, request) => {
      findState(service)?.meter.record(request, clock.now());
    },
    hold: (service, request) => {
      const end = findState(service)?.meter.hold(request, clock.now());
      return () => end?.(clock.now());
    },
    receive: (numbers) => {
      refresh();
      const report = states.size > 0 ? decodeDemands(numbers) : undefined;
      const sender = report && findNode(report.sender)?.name;
      if (!report || sender === undefined || sender === self.name) return;
      const at = clock.now();
      for (const [serviceTag, demand] of report.demands) {
        const state = states.get(namesByTag.get(serviceTag) ?? '');
        if (!state) continue;
        state.reports.set(sender, { at, demand });
      }
    },
    step: () => {
      refresh();
      if (states.size === 0) return;
      const alive = listAlive();
      const demands = new Map<string, ServiceDemand>();
      for (const [service, state] of states) {
        const demand = update(service, state, alive);
        if (demand) demands.set(service, demand);
      }
      if (demands.size > 0) sendDemands(demands, alive);
    },
    listShares: () =>
      [...states].flatMap(([service, { shares }]) =>
        [...shares].map(([priority, share]) => ({ service, priority, share })),
      ),
  };
}
