/**
 * The faults of a soak run, each with its handler.
 */
import { sleep } from '../../bench/sleep/index.js';
import type { FaultInput } from '../../standins/createFaults/index.js';
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import type { SoakNode } from '../createNodes/index.js';
import type { LinkFault, LinkProxy } from '../createProxy/index.js';
import { noteWhile } from '../createRecord/index.js';
import type { EndpointMode, SoakEndpoint } from '../createSoakEndpoint/index.js';
import type { FaultKind, ScheduledFault } from '../drawSchedule/index.js';
import type { SoakRecord } from '../types/index.js';

/** What faults hit. */
export interface FaultContext {
  readonly nodes: readonly SoakNode[];
  /** Endpoints that faults may hit. */
  readonly endpoints: readonly SoakEndpoint[];
  /** Creates an endpoint of another service that listens where another one did. */
  readonly replaceEndpoint: (endpoint: SoakEndpoint) => Promise<SoakEndpoint>;
  readonly store: SiteStore;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Writes the next configuration. */
  readonly changeConfiguration: () => void;
}

type Handler = (context: FaultContext, fault: ScheduledFault) => Promise<void>;

/** Time in which the registry still shows an endpoint that has gone. */
const LAPSE_MILLISECONDS = 1_500;
const STORM_CHANGES = 6;
const STORM_PAUSE_MILLISECONDS = 120;
const STORE_DELAY_MILLISECONDS = 300;

function findNode({ nodes }: FaultContext, { index }: ScheduledFault): SoakNode {
  const node = nodes[index];
  if (!node) throw new Error(`there is no node ${index}`);
  return node;
}

function findEndpoint({ endpoints }: FaultContext, { index }: ScheduledFault): SoakEndpoint {
  const endpoint = endpoints[index];
  if (!endpoint) throw new Error(`there is no endpoint ${index}`);
  return endpoint;
}

async function disturbLink(link: LinkProxy, fault: LinkFault, milliseconds: number) {
  link.begin(fault);
  await sleep(milliseconds);
  link.end(fault);
}

function disturbNodeLink(link: 'callers' | 'store', fault: LinkFault): Handler {
  return (context, scheduled) => {
    const node = findNode(context, scheduled);
    const kind = link === 'callers' ? 'link' : 'storeLink';
    return noteWhile(context.record, context.now, { kind, target: node.name }, () =>
      disturbLink(node[link], fault, scheduled.milliseconds),
    );
  };
}

function disturbEndpointLink(fault: LinkFault): Handler {
  return (context, scheduled) => {
    const endpoint = findEndpoint(context, scheduled);
    const noted = { kind: 'endpointLink', target: endpoint.id };
    return noteWhile(context.record, context.now, noted, () =>
      disturbLink(endpoint.link, fault, scheduled.milliseconds),
    );
  };
}

function troubleEndpoint(mode: EndpointMode): Handler {
  return (context, scheduled) => {
    const endpoint = findEndpoint(context, scheduled);
    return noteWhile(context.record, context.now, { kind: mode, target: endpoint.id }, async () => {
      endpoint.setMode(mode);
      await sleep(scheduled.milliseconds);
      endpoint.setMode('sound');
    });
  };
}

function troubleStore(fault: FaultInput): Handler {
  return ({ record, now, store }, { milliseconds }) =>
    noteWhile(record, now, { kind: fault.kind, target: 'store' }, async () => {
      store.faults.add({ ...fault, ...(fault.kind !== 'delay' && { milliseconds }) });
      await sleep(milliseconds);
      store.faults.clear();
    });
}

/** A node's process is gone for a time. */
function endNode(how: 'kill' | 'stop', moves: boolean): Handler {
  return (context, scheduled) => {
    const node = findNode(context, scheduled);
    return noteWhile(context.record, context.now, { kind: how, target: node.name }, async () => {
      node.sight();
      await node[how]();
      await sleep(scheduled.milliseconds);
      if (moves) node.move();
      await node.start();
    });
  };
}

const crashEndpoint: Handler = (context, scheduled) => {
  const endpoint = findEndpoint(context, scheduled);
  const noted = { kind: 'crash', target: endpoint.id };
  return noteWhile(context.record, context.now, noted, async () => {
    await endpoint.crash();
    const lapsesAt = Math.min(LAPSE_MILLISECONDS, scheduled.milliseconds);
    await sleep(lapsesAt);
    if (scheduled.milliseconds > LAPSE_MILLISECONDS) endpoint.unregister();
    await sleep(scheduled.milliseconds - lapsesAt);
    await endpoint.start();
  });
};

/** It says so in its answers and in the registry, ends, and starts again. */
const leaveEndpoint: Handler = (context, scheduled) => {
  const endpoint = findEndpoint(context, scheduled);
  const noted = { kind: 'leaving', target: endpoint.id };
  return noteWhile(context.record, context.now, noted, async () => {
    endpoint.setMode('leaving');
    await sleep(scheduled.milliseconds);
    endpoint.register();
    await sleep(LAPSE_MILLISECONDS);
    await endpoint.crash();
    endpoint.unregister();
    await sleep(LAPSE_MILLISECONDS);
    endpoint.setMode('sound');
    await endpoint.start();
  });
};

/** Another service answers at its address for a time. */
const replaceEndpoint: Handler = (context, scheduled) => {
  const endpoint = findEndpoint(context, scheduled);
  const noted = { kind: 'replaced', target: endpoint.id };
  return noteWhile(context.record, context.now, noted, async () => {
    await endpoint.crash();
    const other = await context.replaceEndpoint(endpoint);
    await other.start();
    await sleep(scheduled.milliseconds);
    endpoint.unregister();
    await sleep(scheduled.milliseconds);
    await other.crash();
    other.unregister();
    await endpoint.start();
  });
};

const freezeNode: Handler = (context, scheduled) => {
  const node = findNode(context, scheduled);
  const noted = { kind: 'freeze', target: node.name };
  return noteWhile(context.record, context.now, noted, async () => {
    node.freeze();
    await sleep(scheduled.milliseconds);
    node.thaw();
  });
};

const reloadNode: Handler = (context, scheduled) => {
  const node = findNode(context, scheduled);
  return noteWhile(context.record, context.now, { kind: 'reload', target: node.name }, () => {
    node.reload();
    return Promise.resolve();
  });
};

const stormConfiguration: Handler = async ({ changeConfiguration }) => {
  for (let change = 0; change < STORM_CHANGES; change += 1) {
    changeConfiguration();
    await sleep(STORM_PAUSE_MILLISECONDS);
  }
};

const HANDLERS: Readonly<Record<FaultKind, Handler>> = {
  freezeNode,
  killNode: endNode('kill', false),
  stopNode: endNode('stop', false),
  moveNode: endNode('stop', true),
  reloadNode,
  delayCallers: disturbNodeLink('callers', 'delay'),
  trickleCallers: disturbNodeLink('callers', 'trickle'),
  resetCallers: disturbNodeLink('callers', 'reset'),
  cutToNode: disturbNodeLink('callers', 'cutToServer'),
  cutToCallers: disturbNodeLink('callers', 'cutToClient'),
  silenceCallers: disturbNodeLink('callers', 'silence'),
  delayStoreLink: disturbNodeLink('store', 'delay'),
  resetStoreLink: disturbNodeLink('store', 'reset'),
  cutToStore: disturbNodeLink('store', 'cutToServer'),
  cutFromStore: disturbNodeLink('store', 'cutToClient'),
  silenceStoreLink: disturbNodeLink('store', 'silence'),
  repeatStoreAnswers: disturbNodeLink('store', 'repeat'),
  delayEndpoint: disturbEndpointLink('delay'),
  trickleEndpoint: disturbEndpointLink('trickle'),
  resetEndpoint: disturbEndpointLink('reset'),
  cutToEndpoint: disturbEndpointLink('cutToServer'),
  cutFromEndpoint: disturbEndpointLink('cutToClient'),
  silenceEndpoint: disturbEndpointLink('silence'),
  repeatEndpointAnswers: disturbEndpointLink('repeat'),
  crashEndpoint,
  replaceEndpoint,
  slowEndpoint: troubleEndpoint('slow'),
  stallEndpoint: troubleEndpoint('stalled'),
  endlessEndpoint: troubleEndpoint('endless'),
  breakOffEndpoint: troubleEndpoint('breaksOff'),
  restEndpoint: troubleEndpoint('resting'),
  fillEndpoint: troubleEndpoint('full'),
  leaveEndpoint,
  doubleEndpointAnswers: troubleEndpoint('twice'),
  slowStore: troubleStore({ kind: 'delay', milliseconds: STORE_DELAY_MILLISECONDS }),
  downStore: troubleStore({ kind: 'down' }),
  losingStore: troubleStore({ kind: 'dropReply', probability: 0.5 }),
  forgetfulStore: ({ store }) => {
    store.forgetHistory();
    return Promise.resolve();
  },
  changeConfiguration: ({ changeConfiguration }) => {
    changeConfiguration();
    return Promise.resolve();
  },
  stormConfiguration,
};

/** What some faults hold, so that no other one acts on the same process or state meanwhile. */
const HELD: Readonly<Partial<Record<FaultKind, string>>> = {
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
  slowStore: 'store',
  downStore: 'store',
  losingStore: 'store',
};

/** Faults that are under way. */
export interface FaultInjector {
  /** Begins a fault, unless another one holds what it would act on; tells whether it did. */
  readonly begin: (fault: ScheduledFault) => boolean;
  /** Resolves when all faults have ended. */
  readonly settle: () => Promise<void>;
  /** How often each kind began. */
  readonly counts: ReadonlyMap<FaultKind, number>;
}

/**
 * Creates an injector of faults.
 *
 * @param context - what the faults hit
 * @returns the injector
 * @example
 * createFaultInjector(context).begin(fault);
 */
export function createFaultInjector(context: FaultContext): FaultInjector {
  const held = new Set<string>();
  const running: Promise<void>[] = [];
  const counts = new Map<FaultKind, number>();
  const findHold = ({ kind, index }: ScheduledFault): string => `${HELD[kind] ?? kind} ${index}`;
  return {
    counts,
    begin: (fault) => {
      const hold = findHold(fault);
      if (held.has(hold)) return false;
      held.add(hold);
      counts.set(fault.kind, (counts.get(fault.kind) ?? 0) + 1);
      const ending = HANDLERS[fault.kind](context, fault).finally(() => held.delete(hold));
      running.push(ending);
      return true;
    },
    settle: async () => {
      await Promise.all(running);
    },
  };
}
