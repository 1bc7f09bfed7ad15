/**
 * Node of a site without its sockets: its state, its decisions and its loops, connected by ports.
 */
import { createZoneLinkMonitor } from '../../../request/createZoneLinkMonitor/index.js';
import { createServiceRetryBudget } from '../../../request/createServiceRetryBudget/index.js';
import { listPriorities } from '../../../version/listPriorities/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { EndpointPort, NeighbourPort } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { Store } from '../../../types/store/index.js';
import { describeError } from '../../describeError/index.js';
import { createRandom } from '../../createRandom/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { parseJson } from '../../parseJson/index.js';
import type { LeavingPeriod } from '../../relay/admitRequest/index.js';
import { createBodyMemoryLimit } from '../../relay/createBodyMemoryLimit/index.js';
import { createLinkMonitor } from '../../relay/createLinkMonitor/index.js';
import { createNeighbours } from '../../relay/createNeighbours/index.js';
import { createEndpointProber } from '../../relay/createEndpointProber/index.js';
import { createRelay, type Relay } from '../../relay/createRelay/index.js';
import { createWaitingRooms } from '../../relay/createWaitingRooms/index.js';
import { createStartGate } from '../../relay/createStartGate/index.js';
import { createStopSignal } from '../../relay/createStopSignal/index.js';
import { createRelayMetrics, type RelayMetrics } from '../../relay/createRelayMetrics/index.js';
import type { RelayContext } from '../../relay/types/index.js';
import { watchLayerCoverage } from '../../relay/watchLayerCoverage/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import {
  createSiteState,
  type CreateSiteStateOptions,
  type SiteDecoders,
  type SiteState,
} from '../createSiteState/index.js';
import { describeSite, type SiteStatus } from '../describeSite/index.js';
import {
  createPeerExchange,
  type PeerExchange,
  type PeerPort,
} from '../createPeerExchange/index.js';
import { chooseFollowerRole } from '../chooseFollowerRole/index.js';
import { createStoreFollower, type StoreFollower } from '../createStoreFollower/index.js';
import type { ItemOrigin } from '../createStoreItems/index.js';
import {
  createNodeRegistration,
  isIntroducer,
  type NodeRegistration,
} from '../createNodeRegistration/index.js';
import { createCrashProtection } from '../createCrashProtection/index.js';
import { createRequestLimits } from '../createRequestLimits/index.js';
import { createPlanner, type Planner } from '../createPlanner/index.js';
import { splitChanges } from '../splitChanges/index.js';
import { SITE_DECISIONS, type SiteDecisions } from '../siteDecisions/index.js';

/** Store keys that the node reads. */
export interface SiteKeys {
  readonly configuration: string;
  readonly endpointPrefix: string;
}

/** Limits of the retries to one service, for all nodes of the site together. */
export interface RetryBounds {
  /** Retries allowed per request to the service in the window. */
  readonly ratio: number;
  /** Retries allowed in a window in addition to the ratio; the nodes share them equally. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Options of {@link createSiteNode}. */
export interface CreateSiteNodeOptions {
  readonly self: NodeRecord;
  /** Addresses of nodes to contact first, if any. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly store: Store;
  readonly endpointPort: EndpointPort;
  readonly neighbourPort: NeighbourPort;
  readonly peerPort: PeerPort;
  readonly logger: SiteLogger;
  readonly decoders: SiteDecoders;
  readonly keys: SiteKeys;
  readonly retries: RetryBounds;
  /** Whether streams wait for a path where their service has several priorities; false by default. */
  readonly hasWaitingRooms?: boolean;
  /** Whether choices of a path are spread where a service has several priorities; false by default. */
  readonly spreadsChoices?: boolean;
  /** {@link SITE_DECISIONS} by default. */
  readonly decisions?: SiteDecisions;
  readonly onConfiguration: CreateSiteStateOptions['onConfiguration'];
  /** Returns when the node began to leave and when it stops; undefined when it is not leaving. */
  readonly getLeaving: () => LeavingPeriod | undefined;
}

/** One step of a loop; resolves to the pause before the next step, in milliseconds. */
export type LoopStep = () => Promise<number>;

/** Node without its sockets. */
export interface SiteCore {
  readonly random: () => number;
  readonly metrics: RelayMetrics;
  readonly state: SiteState;
  readonly relay: Relay;
  readonly exchange: PeerExchange;
  readonly follower: StoreFollower;
  readonly planner: Planner;
  readonly registration: NodeRegistration;
  /** Lists the live nodes that are not known to be cut off from endpoints; all live ones if there is none. */
  readonly listReaching: () => readonly NodeRecord[];
  /** Ends the open requests with a final response, before the process exits. */
  readonly endRequests: () => void;
  /** Returns the current state as the node knows it, for operators. */
  readonly describe: () => SiteStatus;
  /** Steps to repeat as long as the node runs, by name. */
  readonly loops: Readonly<Record<string, LoopStep>>;
}

const NODE_KEY_PREFIX = 'nodes/';
/** Maximum memory for all buffered responses together while they are read, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 33_554_432;

/** Creates a list of callbacks for lost endpoints. */
function createLostListeners() {
  const callbacks = new Set<(endpoint: string) => void>();
  return {
    notify: (endpoint: string): void => {
      for (const callback of [...callbacks]) callback(endpoint);
    },
    add: (callback: (endpoint: string) => void): (() => void) => {
      callbacks.add(callback);
      return () => callbacks.delete(callback);
    },
  };
}

/**
 * Creates a node.
 *
 * Nothing runs yet: the caller has to repeat its loops and pass requests and messages to it.
 *
 * @param options - identity, ports and limits
 * @returns the node
 * @example
 * createSiteNode(options).relay.admit(head);
 */
export function createSiteNode(options: CreateSiteNodeOptions): SiteCore {
  const { self, clock, store, endpointPort, logger, decoders, keys, retries } = options;
  const { decisions = SITE_DECISIONS, hasWaitingRooms = false, spreadsChoices = false } = options;
  const { now } = clock;
  const random = createRandom(hashText(`${self.name}/${self.incarnation}`));
  const metrics = createRelayMetrics();
  const { onConfiguration } = options;
  const lostListeners = createLostListeners();
  const stopSignal = createStopSignal((error) => {
    logger.log('request-crashed', { reason: describeError(error) });
  });
  const configurationGate = createStartGate({ clock });
  const coverageGate = createStartGate({ clock });
  const startServing = (): void => {
    if (!configurationGate.open()) return;
    watchLayerCoverage({
      gate: coverageGate,
      clock,
      endpoints: state.endpoints,
      listServices: () => state.getCompiled()?.configuration.services ?? [],
    });
  };
  let priorities: ReadonlyMap<string, readonly number[]> = new Map();
  const state = createSiteState({
    decoders,
    logger,
    now,
    parse: parseJson,
    onConfiguration: (compiled) => {
      if (hasWaitingRooms) priorities = listPriorities(compiled.configuration);
      onConfiguration(compiled);
      startServing();
      follower.clearPendingRead();
      // Announces the version without waiting for the next round.
      void exchange.step();
    },
  });
  const { rateLimits, permits, admission } = createRequestLimits({
    self,
    clock,
    random,
    logger,
    endpoints: state.endpoints,
    peerPort: options.peerPort,
    getPeers: () => exchange.peers,
    getCompiled: state.getCompiled,
    computeShares: decisions.computeAdmissionShares,
  });
  const links = createLinkMonitor({
    endpoints: state.endpoints,
    endpointPort,
    logger,
    now,
    random,
    onChange: (isIsolated) => {
      metrics.count('link_changes', isIsolated ? 'lost' : 'back');
      if (isIsolated) state.endpoints.withdrawLosses();
      // Tells the other nodes without waiting for the next round.
      void exchange.step();
    },
  });
  const prober = createEndpointProber({
    endpoints: state.endpoints,
    links,
    rateLimits,
    endpointPort,
    logger,
    now,
    onLost: (id) => {
      lostListeners.notify(id);
      // Announces the loss without waiting for the next round.
      if (!links.isSuspect()) void exchange.step();
    },
  });
  const exchange: PeerExchange = createPeerExchange({
    self,
    seeds: options.seeds,
    state,
    prober,
    links,
    logger,
    peerPort: options.peerPort,
    now,
    random,
    getFollower: () => follower,
    getPlanner: () => planner,
    getRateLimits: () => rateLimits,
    getPermits: () => permits,
    getAdmission: () => admission,
    getParts: () => ({
      list: () => ({
        ...partGuard.breakers.listFacts(now()),
        successes: partGuard.breakers.listLatestSuccesses(),
      }),
      receive: partExchange.receive,
    }),
    onDeregistered: (id) => {
      follower.confirmRemoval(`${keys.endpointPrefix}${id}`);
    },
    onChanges: ({ after, revision, items, isShortened }) => {
      const decoded = items.map(({ value, ...item }) => ({
        ...item,
        value: value === undefined ? undefined : Buffer.from(value),
      }));
      follower.applyChanges({ after, revision, items: decoded, isShortened });
    },
  });
  const nodeKey = `${NODE_KEY_PREFIX}${self.name}`;
  const applyItem = (key: string, text: string | undefined, origin: ItemOrigin): void => {
    const source = origin === 'restored' ? 'restored' : 'store';
    if (key.startsWith(keys.endpointPrefix)) {
      const id = key.slice(keys.endpointPrefix.length);
      if (text === undefined && follower.isStable()) exchange.recordDeregistration(id);
      state.applyEndpoint(id, text, source);
    } else if (text === undefined) {
      if (key === nodeKey) registration.recordRemoval();
    } else if (key === keys.configuration) {
      state.applyConfiguration(text, source);
    } else if (key.startsWith(NODE_KEY_PREFIX)) {
      exchange.peers.addStoredNode(parseJson(text));
    }
  };
  const follower: StoreFollower = createStoreFollower({
    store,
    logger,
    now,
    countNodes: exchange.peers.countAlive,
    getRole: () =>
      chooseFollowerRole({
        self: self.name,
        others: exchange.peers.listReachingStore().map(({ name }) => name),
        isReachable: follower.isReachable(),
      }),
    onChanges: (batch) => {
      for (const part of splitChanges(batch)) {
        const items = part.items.map(({ value, ...item }) => ({
          ...item,
          value: value?.toString('utf8'),
        }));
        exchange.forwardChanges({ ...part, from: self.name, items });
      }
    },
    listReported: () => state.listRegistryEntries().map(([id]) => `${keys.endpointPrefix}${id}`),
    onItem: (key, value, origin) => {
      applyItem(key, value?.toString('utf8'), origin);
    },
  });
  const listReaching = (): readonly NodeRecord[] => {
    const { listConnected, listAlive: listLive, getSelf } = exchange.peers;
    const reaching = links.isIsolated() ? listConnected() : [getSelf(), ...listConnected()];
    return reaching.length > 0 ? reaching : listLive();
  };
  const planner: Planner = createPlanner({
    self: self.name,
    state,
    endpointPort,
    logger,
    now,
    listAlive: () =>
      listReaching()
        .filter(({ isLeaving }) => !isLeaving)
        .map(({ name }) => name),
    prober,
    planPlacement: decisions.planPlacement,
  });
  const listZonePeers = (): string[] =>
    exchange.peers
      .listAlive()
      .filter(({ availabilityZone }) => availabilityZone === self.availabilityZone)
      .map(({ name }) => name);
  const registration: NodeRegistration = createNodeRegistration({
    store,
    logger,
    key: nodeKey,
    getValue: () => JSON.stringify(self),
    shouldRegister: () => isIntroducer(self.name, listZonePeers()),
  });
  const budget = createServiceRetryBudget({
    ...retries,
    // An isolated node must not use the other nodes' shares of the budget.
    countNodes: exchange.peers.countKnown,
  });
  const { crashes, partGuard, partExchange } = createCrashProtection({
    self,
    clock,
    random,
    logger,
    metrics,
    endpoints: state.endpoints,
    prober,
    endpointPort,
    links,
    peerPort: options.peerPort,
    listAlive: exchange.peers.listAlive,
  });
  const neighbours = createNeighbours({
    availabilityZone: self.availabilityZone,
    endpoints: state.endpoints,
    links,
    port: options.neighbourPort,
    listConnected: exchange.peers.listConnected,
    now,
    random,
  });
  const waitingRooms = createWaitingRooms({
    clock,
    endpoints: state.endpoints,
    metrics,
    permits,
    stopSignal,
    countNodes: exchange.peers.countAlive,
    readLoadAge: exchange.readLoadAge,
    getPriorities: () => priorities,
  });
  const context: RelayContext = {
    availabilityZone: self.availabilityZone,
    endpoints: state.endpoints,
    endpointPort,
    budget,
    logger,
    metrics,
    prober,
    links,
    neighbours,
    rateLimits,
    permits,
    admission,
    crashes,
    partGuard,
    waitingRooms,
    decisions,
    clock,
    random,
    onLost: lostListeners.add,
    stopSignal,
    zoneLinks: createZoneLinkMonitor({ countSendingNodes: () => listZonePeers().length }),
    responseMemory: createBodyMemoryLimit(MAXIMUM_RESPONSE_BYTES),
    spreadsChoices,
    countNodes: exchange.peers.countAlive,
    readLoadAge: exchange.readLoadAge,
    countNodesWithoutLoad: exchange.countNodesWithoutLoad,
  };
  const { getCompiled } = state;
  const { getLeaving } = options;
  return {
    random,
    metrics,
    state,
    relay: createRelay({ context, getCompiled, getLeaving, configurationGate, coverageGate }),
    exchange,
    follower,
    planner,
    registration,
    listReaching,
    endRequests: () => {
      stopSignal.raise();
      configurationGate.open();
      coverageGate.open();
    },
    describe: () => describeSite({ self, context, state, exchange, follower, planner }),
    loops: {
      store: follower.step,
      registration: registration.step,
      news: () => {
        state.applyHeldEntries();
        partExchange.step();
        rateLimits.step();
        admission.step();
        links.step();
        waitingRooms.step();
        return exchange.step();
      },
      planner: planner.step,
    },
  };
}
