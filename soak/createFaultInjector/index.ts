/**
 * Fault injection of a soak run, with one handler for each kind of fault.
 */
import { sleep } from '../../bench/sleep/index.js';
import type { FaultInput } from '../../standins/createFaults/index.js';
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import type { SoakNode } from '../createNodes/index.js';
import type { LinkFault, LinkProxy } from '../createProxy/index.js';
import { recordFaultDuring } from '../createRecord/index.js';
import type { EndpointMode, SoakEndpoint } from '../createSoakEndpoint/index.js';
import type { FaultKind, ScheduledFault } from '../drawSchedule/index.js';
import type { Operator } from '../createOperator/index.js';
import { restoreStore } from '../restoreStore/index.js';
import { writeOddEntries } from '../writeOddEntries/index.js';
import type { SoakRecord } from '../types/index.js';

/** Components of the run that faults act on. */
export interface FaultContext {
  readonly nodes: readonly SoakNode[];
  /** Endpoints that faults may affect. */
  readonly endpoints: readonly SoakEndpoint[];
  /** Creates an endpoint of another service that listens on the address of a given endpoint. */
  readonly replaceEndpoint: (endpoint: SoakEndpoint) => Promise<SoakEndpoint>;
  readonly store: SiteStore;
  /** Address that only odd entries name. */
  readonly oddAddress: string;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Writes the configurations. */
  readonly operator: Operator;
  /** Returns all endpoints that write to the store, also replacing ones. */
  readonly listWriters: () => readonly SoakEndpoint[];
  readonly random: () => number;
}

type Handler = (context: FaultContext, fault: ScheduledFault) => Promise<void>;

/** Time for which the registry still lists an endpoint that has exited. */
const DEREGISTRATION_DELAY_MILLISECONDS = 1_500;
/** Time from the change of an entry to the end of its endpoint: less than a stream lasts. */
const DEPARTURE_NOTICE_MILLISECONDS = 200;
/** Time for which an endpoint is down that restarts at once. */
const RESTART_MILLISECONDS = 20;
const BURST_CHANGES = 6;
const BURST_PAUSE_MILLISECONDS = 120;
const STORE_DELAY_MILLISECONDS = 300;
/** Time in which a change wakes the nodes' watches and the next ones begin. */
const NEXT_WATCH_MILLISECONDS = 250;

function findNode({ nodes }: FaultContext, { index }: ScheduledFault): SoakNode {
  const node = nodes[index];
  if (!node) throw new Error(`fault schedule names node ${index}, which does not exist`);
  return node;
}

function findEndpoint({ endpoints }: FaultContext, { index }: ScheduledFault): SoakEndpoint {
  const endpoint = endpoints[index];
  if (!endpoint) throw new Error(`fault schedule names endpoint ${index}, which does not exist`);
  return endpoint;
}

async function injectLinkFault(link: LinkProxy, fault: LinkFault, milliseconds: number) {
  link.startFault(fault);
  await sleep(milliseconds);
  link.stopFault(fault);
}

function injectNodeLinkFault(link: 'callerLink' | 'storeLink', fault: LinkFault): Handler {
  return (context, scheduled) => {
    const node = findNode(context, scheduled);
    const kind = link === 'callerLink' ? 'link' : 'storeLink';
    return recordFaultDuring(context.record, context.now, { kind, target: node.name }, () =>
      injectLinkFault(node[link], fault, scheduled.milliseconds),
    );
  };
}

function injectEndpointLinkFault(fault: LinkFault): Handler {
  return (context, scheduled) => {
    const endpoint = findEndpoint(context, scheduled);
    const recordedFault = { kind: 'endpointLink', target: endpoint.id };
    return recordFaultDuring(context.record, context.now, recordedFault, () =>
      injectLinkFault(endpoint.link, fault, scheduled.milliseconds),
    );
  };
}

function injectEndpointMode(mode: EndpointMode): Handler {
  return (context, scheduled) => {
    const endpoint = findEndpoint(context, scheduled);
    return recordFaultDuring(
      context.record,
      context.now,
      { kind: mode, target: endpoint.id },
      async () => {
        endpoint.setMode(mode);
        await sleep(scheduled.milliseconds);
        endpoint.setMode('healthy');
      },
    );
  };
}

function injectStoreFault(fault: FaultInput): Handler {
  return ({ record, now, store }, { milliseconds }) =>
    recordFaultDuring(record, now, { kind: fault.kind, target: 'store' }, async () => {
      store.faults.add({ ...fault, ...(fault.kind !== 'delay' && { milliseconds }) });
      await sleep(milliseconds);
      store.faults.clear();
    });
}

/** Ends a node's process and starts it again after the duration of the fault. */
function restartNode(how: 'kill' | 'stop', isMoved: boolean): Handler {
  return (context, scheduled) => {
    const node = findNode(context, scheduled);
    return recordFaultDuring(
      context.record,
      context.now,
      { kind: how, target: node.name },
      async () => {
        node.recordProcess();
        await node[how]();
        await sleep(scheduled.milliseconds);
        if (isMoved) node.changeAddress();
        await node.start();
      },
    );
  };
}

const crashEndpoint: Handler = (context, scheduled) => {
  const endpoint = findEndpoint(context, scheduled);
  const recordedFault = { kind: 'crash', target: endpoint.id };
  return recordFaultDuring(context.record, context.now, recordedFault, async () => {
    await endpoint.crash();
    const delayMilliseconds = Math.min(DEREGISTRATION_DELAY_MILLISECONDS, scheduled.milliseconds);
    await sleep(delayMilliseconds);
    if (scheduled.milliseconds > DEREGISTRATION_DELAY_MILLISECONDS) endpoint.unregister();
    await sleep(scheduled.milliseconds - delayMilliseconds);
    await endpoint.start();
  });
};

/** Announces an endpoint's shutdown in its responses, then in the registry, ends it, and starts it again. */
const leaveEndpoint: Handler = (context, scheduled) => {
  const endpoint = findEndpoint(context, scheduled);
  const recordedFault = { kind: 'leaving', target: endpoint.id };
  return recordFaultDuring(context.record, context.now, recordedFault, async () => {
    endpoint.setMode('leaving');
    await sleep(scheduled.milliseconds);
    endpoint.register();
    await sleep(DEREGISTRATION_DELAY_MILLISECONDS);
    await endpoint.crash();
    endpoint.unregister();
    await sleep(DEREGISTRATION_DELAY_MILLISECONDS);
    endpoint.setMode('healthy');
    await endpoint.start();
  });
};

/** Announces an endpoint's shutdown only in the registry, and ends the endpoint after the duration of the fault. */
function departEndpoint(depart: (endpoint: SoakEndpoint) => void): Handler {
  return (context, scheduled) => {
    const endpoint = findEndpoint(context, scheduled);
    const recordedFault = { kind: 'leaving', target: endpoint.id };
    return recordFaultDuring(context.record, context.now, recordedFault, async () => {
      depart(endpoint);
      if (!context.operator.isStoreAway()) endpoint.recordDeparture();
      await sleep(scheduled.milliseconds);
      await endpoint.crash();
      endpoint.unregister();
      await sleep(DEREGISTRATION_DELAY_MILLISECONDS);
      endpoint.setMode('healthy');
      await endpoint.start();
    });
  };
}

/**
 * Lets an endpoint send responses without framing, changes its entry, and ends it in the middle of them. The fault
 * counts as the given kind, whose checks know what such an endpoint may do.
 */
function endUnframed(
  kind: 'crash' | 'leaving',
  depart: (context: FaultContext, endpoint: SoakEndpoint) => void,
  downMilliseconds = DEREGISTRATION_DELAY_MILLISECONDS,
): Handler {
  return (context, scheduled) => {
    const endpoint = findEndpoint(context, scheduled);
    const recordedFault = { kind, target: endpoint.id };
    return recordFaultDuring(context.record, context.now, recordedFault, async () => {
      endpoint.setUnframed(true);
      await sleep(scheduled.milliseconds);
      depart(context, endpoint);
      await sleep(DEPARTURE_NOTICE_MILLISECONDS);
      await endpoint.crash();
      await sleep(downMilliseconds);
      endpoint.setUnframed(false);
      endpoint.setMode('healthy');
      await endpoint.start();
    });
  };
}

function recordDeparture({ operator }: FaultContext, endpoint: SoakEndpoint): void {
  if (!operator.isStoreAway()) endpoint.recordDeparture();
}

/** Lets an endpoint of another service respond on the address of an endpoint. */
const replaceEndpoint: Handler = (context, scheduled) => {
  const endpoint = findEndpoint(context, scheduled);
  const recordedFault = { kind: 'replaced', target: endpoint.id };
  return recordFaultDuring(context.record, context.now, recordedFault, async () => {
    await endpoint.crash();
    const other = await context.replaceEndpoint(endpoint);
    const replacing = { kind: 'replacing', target: other.id };
    await recordFaultDuring(context.record, context.now, replacing, async () => {
      await other.start();
      await sleep(scheduled.milliseconds);
      endpoint.unregister();
      await sleep(scheduled.milliseconds);
      await other.crash();
      other.unregister();
    });
    await endpoint.start();
  });
};

const freezeNode: Handler = (context, scheduled) => {
  const node = findNode(context, scheduled);
  const recordedFault = { kind: 'freeze', target: node.name };
  return recordFaultDuring(context.record, context.now, recordedFault, async () => {
    node.freeze();
    await sleep(scheduled.milliseconds);
    node.resume();
  });
};

const reloadNode: Handler = (context, scheduled) => {
  const node = findNode(context, scheduled);
  return recordFaultDuring(
    context.record,
    context.now,
    { kind: 'reload', target: node.name },
    () => {
      node.reload();
      return Promise.resolve();
    },
  );
};

const stormConfiguration: Handler = async ({ operator }) => {
  for (let change = 0; change < BURST_CHANGES; change += 1) {
    operator.changeConfiguration();
    await sleep(BURST_PAUSE_MILLISECONDS);
  }
};

/** Lets all open connections to the store and to endpoints go silent, right after a change and before the next one. */
const silenceConnections: Handler = async ({ nodes, endpoints, operator, record, now }) => {
  operator.changeConfiguration();
  await sleep(NEXT_WATCH_MILLISECONDS);
  const at = now();
  const links = [
    ...nodes.map(({ name, storeLink }) => ({ target: name, link: storeLink })),
    ...endpoints.map(({ id, link }) => ({ target: id, link })),
  ];
  for (const { target, link } of links) {
    link.silenceConnections();
    record.disturbances.push({ kind: 'silence', target, from: at, until: at });
  }
  operator.changeConfiguration();
};

const HANDLERS: Readonly<Record<FaultKind, Handler>> = {
  freezeNode,
  killNode: restartNode('kill', false),
  stopNode: restartNode('stop', false),
  moveNode: restartNode('stop', true),
  reloadNode,
  delayCallers: injectNodeLinkFault('callerLink', 'delay'),
  trickleCallers: injectNodeLinkFault('callerLink', 'trickle'),
  resetCallers: injectNodeLinkFault('callerLink', 'reset'),
  cutToNode: injectNodeLinkFault('callerLink', 'cutToServer'),
  cutToCallers: injectNodeLinkFault('callerLink', 'cutToClient'),
  silenceCallers: injectNodeLinkFault('callerLink', 'silence'),
  delayStoreLink: injectNodeLinkFault('storeLink', 'delay'),
  resetStoreLink: injectNodeLinkFault('storeLink', 'reset'),
  cutToStore: injectNodeLinkFault('storeLink', 'cutToServer'),
  cutFromStore: injectNodeLinkFault('storeLink', 'cutToClient'),
  silenceStoreLink: injectNodeLinkFault('storeLink', 'silence'),
  repeatStoreAnswers: injectNodeLinkFault('storeLink', 'repeat'),
  delayEndpoint: injectEndpointLinkFault('delay'),
  trickleEndpoint: injectEndpointLinkFault('trickle'),
  resetEndpoint: injectEndpointLinkFault('reset'),
  cutToEndpoint: injectEndpointLinkFault('cutToServer'),
  cutFromEndpoint: injectEndpointLinkFault('cutToClient'),
  silenceEndpoint: injectEndpointLinkFault('silence'),
  repeatEndpointAnswers: injectEndpointLinkFault('repeat'),
  crashEndpoint,
  replaceEndpoint,
  slowEndpoint: injectEndpointMode('slow'),
  stallEndpoint: injectEndpointMode('stalled'),
  endlessEndpoint: injectEndpointMode('endless'),
  breakOffEndpoint: injectEndpointMode('breaksOff'),
  restEndpoint: injectEndpointMode('resting'),
  fillEndpoint: injectEndpointMode('full'),
  leaveEndpoint,
  doubleEndpointAnswers: injectEndpointMode('twice'),
  limitEndpoint: injectEndpointMode('limited'),
  crashUnframed: endUnframed('crash', () => undefined),
  drainUnframed: endUnframed('leaving', (context, endpoint) => {
    endpoint.setMode('draining');
    endpoint.register();
    recordDeparture(context, endpoint);
  }),
  expireUnframed: endUnframed('leaving', (context, endpoint) => {
    endpoint.unregister();
    recordDeparture(context, endpoint);
  }),
  restartUnframed: endUnframed('crash', () => undefined, RESTART_MILLISECONDS),
  slowStore: injectStoreFault({ kind: 'delay', milliseconds: STORE_DELAY_MILLISECONDS }),
  downStore: injectStoreFault({ kind: 'down' }),
  losingStore: injectStoreFault({ kind: 'dropReply', probability: 0.5 }),
  forgetfulStore: ({ store }) => {
    store.compactHistory();
    return Promise.resolve();
  },
  changeConfiguration: ({ operator }) => {
    operator.changeConfiguration();
    return Promise.resolve();
  },
  stormConfiguration,
  silenceConnections,
  restoreStore: ({ store, record, now, operator, listWriters, random }, fault) =>
    restoreStore({
      store,
      record,
      now,
      operator,
      writers: listWriters(),
      random,
      awayMilliseconds: fault.milliseconds,
      ageMilliseconds: fault.ageMilliseconds ?? 0,
    }),
  drainEndpoint: departEndpoint((endpoint) => {
    endpoint.setMode('draining');
    endpoint.register();
  }),
  withdrawEndpoint: departEndpoint((endpoint) => {
    endpoint.unregister();
  }),
  /** Writes an odd configuration, and then the next good one. */
  writeOddConfiguration: async ({ operator }, { milliseconds, choices = [] }) => {
    operator.writeOddConfiguration(choices[0] ?? 0);
    await sleep(milliseconds);
    operator.changeConfiguration();
  },
  writeOddEntries: ({ store, record, now, oddAddress }, { index, milliseconds, choices = [] }) =>
    writeOddEntries({
      store,
      record,
      now,
      address: oddAddress,
      name: String(index),
      choices,
      milliseconds,
    }),
};

/** Resources that a kind of fault locks, so that no other fault changes the same process or state meanwhile. */
const EXCLUSIVE_RESOURCES: Readonly<Partial<Record<FaultKind, string>>> = {
  freezeNode: 'process',
  killNode: 'process',
  stopNode: 'process',
  moveNode: 'process',
  reloadNode: 'process',
  crashEndpoint: 'endpoint',
  replaceEndpoint: 'endpoint',
  slowEndpoint: 'endpoint',
  stallEndpoint: 'endpoint',
  endlessEndpoint: 'endpoint',
  breakOffEndpoint: 'endpoint',
  restEndpoint: 'endpoint',
  fillEndpoint: 'endpoint',
  leaveEndpoint: 'endpoint',
  doubleEndpointAnswers: 'endpoint',
  limitEndpoint: 'endpoint',
  crashUnframed: 'endpoint',
  drainUnframed: 'endpoint',
  expireUnframed: 'endpoint',
  restartUnframed: 'endpoint',
  slowStore: 'store',
  downStore: 'store',
  losingStore: 'store',
  restoreStore: 'store',
  drainEndpoint: 'endpoint',
  withdrawEndpoint: 'endpoint',
};

/** Injector of the faults of a run. */
export interface FaultInjector {
  /** Starts a fault unless another one has locked its resource; returns whether it was started. */
  readonly inject: (fault: ScheduledFault) => boolean;
  /** Waits until all started faults have ended. */
  readonly settle: () => Promise<void>;
  /** Number of started faults of each kind. */
  readonly counts: ReadonlyMap<FaultKind, number>;
}

/**
 * Creates a fault injector.
 *
 * @param context - components that the faults act on
 * @returns the injector
 * @example
 * createFaultInjector(context).inject(fault);
 */
export function createFaultInjector(context: FaultContext): FaultInjector {
  const busyResources = new Set<string>();
  const running: Promise<void>[] = [];
  const counts = new Map<FaultKind, number>();
  const findResource = ({ kind, index }: ScheduledFault): string =>
    `${EXCLUSIVE_RESOURCES[kind] ?? kind} ${index}`;
  return {
    counts,
    inject: (fault) => {
      const resource = findResource(fault);
      if (busyResources.has(resource)) return false;
      busyResources.add(resource);
      counts.set(fault.kind, (counts.get(fault.kind) ?? 0) + 1);
      const ending = HANDLERS[fault.kind](context, fault).finally(() =>
        busyResources.delete(resource),
      );
      running.push(ending);
      return true;
    },
    settle: async () => {
      await Promise.all(running);
    },
  };
}
