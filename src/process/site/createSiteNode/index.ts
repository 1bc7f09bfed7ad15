/**
 * A node of a site without its sockets: what it knows, decides and does, over ports.
 */
import { createPipeGauge } from '../../../request/createPipeGauge/index.js';
import { createSpendingBudget } from '../../../request/createSpendingBudget/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { EndpointPort } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { Store } from '../../../types/store/index.js';
import { createRandom } from '../../createRandom/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { parseJson } from '../../parseJson/index.js';
import { createBodyAllowance } from '../../relay/createBodyAllowance/index.js';
import { createExaminer } from '../../relay/createExaminer/index.js';
import { createRelay, type Relay } from '../../relay/createRelay/index.js';
import { createStartGate } from '../../relay/createStartGate/index.js';
import { createRelayMetrics, type RelayMetrics } from '../../relay/createRelayMetrics/index.js';
import type { RelayContext } from '../../relay/types/index.js';
import { watchCover } from '../../relay/watchCover/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import {
  createSiteState,
  type CreateSiteStateOptions,
  type SiteDecoders,
  type SiteState,
} from '../createSiteState/index.js';
import { describeSite, type SiteStatus } from '../describeSite/index.js';
import { createPeerExchange, type PeerExchange, type PeerPort } from '../exchangeNews/index.js';
import { chooseFollowerRole } from '../chooseFollowers/index.js';
import { createStoreFollower, type StoreFollower } from '../followStore/index.js';
import {
  createNodeRegistration,
  isIntroducer,
  type NodeRegistration,
} from '../registerNode/index.js';
import { createPlanner, type Planner } from '../runPlanner/index.js';
import { splitChanges } from '../splitChanges/index.js';
import { SITE_DECISIONS, type SiteDecisions } from '../siteDecisions/index.js';

/** Keys of the store that the node reads. */
export interface SiteKeys {
  readonly configuration: string;
  readonly endpointPrefix: string;
}

/** Retries that all nodes may make together. */
export interface RetryBounds {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats beyond the ratio. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Options of {@link createSiteNode}. */
export interface CreateSiteNodeOptions {
  readonly self: NodeRecord;
  /** Addresses of nodes to begin with, if any. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly store: Store;
  readonly endpointPort: EndpointPort;
  readonly peerPort: PeerPort;
  readonly logger: SiteLogger;
  readonly decoders: SiteDecoders;
  readonly keys: SiteKeys;
  readonly retries: RetryBounds;
  /** The product's own decisions by default. */
  readonly decisions?: SiteDecisions;
  readonly onConfiguration: CreateSiteStateOptions['onConfiguration'];
  /** When the node began to leave, if it did. */
  readonly getLeavingSince: () => number | undefined;
}

/** One repeated step; resolves to the pause before the next one, in milliseconds. */
export type LoopStep = () => Promise<number>;

/** A node without its sockets. */
export interface SiteCore {
  readonly random: () => number;
  readonly metrics: RelayMetrics;
  readonly state: SiteState;
  readonly relay: Relay;
  readonly exchange: PeerExchange;
  readonly follower: StoreFollower;
  readonly planner: Planner;
  readonly registration: NodeRegistration;
  /** What the node believes now, for operators. */
  readonly describe: () => SiteStatus;
  /** What has to be repeated as long as the node runs, by name. */
  readonly loops: Readonly<Record<string, LoopStep>>;
}

const NODE_KEY_PREFIX = 'nodes/';
/** Memory that whole answers may take together while they are read. */
const MAXIMUM_RESPONSE_BYTES = 33_554_432;

/** Those who want to know of each endpoint that is lost. */
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
 * Nothing runs yet: its loops have to be repeated, and requests and messages handed in.
 *
 * @param options - identity, ports and bounds
 * @returns the node
 * @example
 * createSiteNode(options).relay.admit(head);
 */
export function createSiteNode(options: CreateSiteNodeOptions): SiteCore {
  const { self, clock, store, endpointPort, logger, decoders, keys, retries } = options;
  const { decisions = SITE_DECISIONS } = options;
  const { now } = clock;
  const random = createRandom(hashText(`${self.name}/${self.incarnation}`));
  const metrics = createRelayMetrics();
  const { onConfiguration } = options;
  const lostListeners = createLostListeners();
  const configurationGate = createStartGate({ clock });
  const coverGate = createStartGate({ clock });
  const startServing = (): void => {
    if (!configurationGate.open()) return;
    watchCover({
      gate: coverGate,
      clock,
      endpoints: state.endpoints,
      listServices: () => state.getCompiled()?.configuration.services ?? [],
    });
  };
  const state = createSiteState({
    decoders,
    logger,
    now,
    parse: parseJson,
    onConfiguration: (compiled) => {
      onConfiguration(compiled);
      startServing();
      follower.clearPendingRead();
      // Others hear of it without waiting for the next round.
      void exchange.step();
    },
  });
  const examiner = createExaminer({
    endpoints: state.endpoints,
    endpointPort,
    logger,
    now,
    onLost: (id) => {
      lostListeners.notify(id);
      // Others learn of it at once.
      void exchange.step();
    },
  });
  const exchange: PeerExchange = createPeerExchange({
    self,
    seeds: options.seeds,
    state,
    examiner,
    logger,
    peerPort: options.peerPort,
    now,
    random,
    getFollower: () => follower,
    getPlanner: () => planner,
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
  const applyItem = (key: string, text: string | undefined): void => {
    if (key.startsWith(keys.endpointPrefix)) {
      const id = key.slice(keys.endpointPrefix.length);
      if (text === undefined && follower.isStable()) exchange.recordDeregistration(id);
      state.offerEndpoint(id, text, 'store');
    } else if (text === undefined) {
      return;
    } else if (key === keys.configuration) {
      state.offerConfiguration(text, 'store');
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
    onItem: (key, value) => {
      applyItem(key, value?.toString('utf8'));
    },
  });
  const listAlive = (): string[] =>
    exchange.peers
      .listAlive()
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ name }) => name);
  const planner: Planner = createPlanner({
    self: self.name,
    state,
    endpointPort,
    logger,
    now,
    listAlive,
    examiner,
    planPlacement: decisions.planPlacement,
  });
  const listZonePeers = (): string[] =>
    exchange.peers
      .listAlive()
      .filter(({ availabilityZone }) => availabilityZone === self.availabilityZone)
      .map(({ name }) => name);
  const registration = createNodeRegistration({
    store,
    key: `${NODE_KEY_PREFIX}${self.name}`,
    getValue: () => JSON.stringify(self),
    isWanted: () => isIntroducer(self.name, listZonePeers()),
  });
  const budget = createSpendingBudget({
    ...retries,
    // A node that is cut off must not take the others' parts of the budget.
    countNodes: exchange.peers.countKnown,
  });
  const context: RelayContext = {
    availabilityZone: self.availabilityZone,
    endpoints: state.endpoints,
    endpointPort,
    budget,
    logger,
    metrics,
    examiner,
    decisions,
    clock,
    random,
    onLost: lostListeners.add,
    pipes: createPipeGauge({ countUsers: () => listZonePeers().length }),
    answerMemory: createBodyAllowance(MAXIMUM_RESPONSE_BYTES),
    countNodes: exchange.peers.countAlive,
    readLoadAge: exchange.readLoadAge,
    countUnheardNodes: exchange.countNodesWithoutLoad,
  };
  const { getCompiled } = state;
  const { getLeavingSince } = options;
  return {
    random,
    metrics,
    state,
    relay: createRelay({ context, getCompiled, getLeavingSince, configurationGate, coverGate }),
    exchange,
    follower,
    planner,
    registration,
    describe: () => describeSite({ self, context, state, exchange, follower, planner }),
    loops: {
      store: follower.step,
      registration: registration.step,
      news: exchange.step,
      planner: planner.step,
    },
  };
}
