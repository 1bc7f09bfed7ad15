/**
 * Exchange of updates with other nodes: what this node sends, and how it applies what it receives.
 */
import type { PartFacts } from '../../../types/breaker/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { Endpoint } from '../../../connection/createEndpointTable/index.js';
import { describeError } from '../../describeError/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import type { EndpointProber } from '../../relay/createEndpointProber/index.js';
import type { LinkMonitor } from '../../relay/createLinkMonitor/index.js';
import { recordLeaving } from '../../relay/recordResponse/index.js';
import type { AdmissionExchange } from '../createAdmissionExchange/index.js';
import { createPeerReplies } from '../createPeerReplies/index.js';
import { createPeerRequests } from '../createPeerRequests/index.js';
import { createPeers, type Peers } from '../createPeers/index.js';
import { decodeMessage, encodeStoreChanges, encodeUpdate } from '../peerMessageCodec/index.js';
import type { Permits } from '../createPermits/index.js';
import type { RateLimits } from '../createRateLimits/index.js';
import { decodePermitReply, decodePermitRequest, decodeRateLimits } from '../permitCodec/index.js';
import { decodePartFacts } from '../partFactsCodec/index.js';
import {
  peerRequestSchema,
  type EndpointLoadUpdate,
  type LocalState,
  type PeerReply,
  type PeerUpdate,
  type PeerRequest,
  type StoreChanges,
} from '../peerMessages/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { SiteState } from '../createSiteState/index.js';
import type { StoreFollower } from '../createStoreFollower/index.js';
import type { Planner } from '../createPlanner/index.js';
import { createLayerRelay } from '../createLayerRelay/index.js';
import { createLossReports } from '../createLossReports/index.js';
import { createRemoteLoads } from '../createRemoteLoads/index.js';

/** Port to other nodes. */
export interface PeerPort {
  /** Sends a short message, which may be lost. */
  readonly send: (address: string, message: Uint8Array) => void;
  /** Requests data that is too long for messages; resolves to undefined without a reply. */
  readonly sendRequest: (address: string, request: PeerRequest) => Promise<unknown>;
}

/** Options of {@link createPeerExchange}. */
export interface CreatePeerExchangeOptions {
  readonly self: NodeRecord;
  /** Addresses of nodes to contact first, if any. */
  readonly seeds: readonly string[];
  readonly state: SiteState;
  readonly prober: EndpointProber;
  readonly links: Pick<LinkMonitor, 'isIsolated' | 'isSuspect' | 'readConnectedAge'>;
  readonly logger: SiteLogger;
  readonly peerPort: PeerPort;
  readonly now: () => number;
  readonly random: () => number;
  readonly getFollower: () => Pick<StoreFollower, 'getRevision' | 'isReachable'>;
  /** Called for an endpoint that a peer reported as removed from the registry. */
  readonly onDeregistered: (endpoint: string) => void;
  /** Called for changes of the store that a peer forwarded. */
  readonly onChanges: (changes: StoreChanges) => void;
  readonly getPlanner: () => Pick<Planner, 'listLayerUpdates' | 'listSlowdowns'>;
  /** Facts about parts: those that this node knows, and the callback for those of a peer. */
  readonly getParts: () => {
    readonly list: () => PartFacts;
    readonly receive: (facts: PartFacts) => void;
  };
  readonly getRateLimits: () => Pick<RateLimits, 'list' | 'receive'>;
  readonly getPermits: () => Pick<Permits, 'handleRequest' | 'handleReply'>;
  readonly getAdmission: () => Pick<AdmissionExchange, 'receive'>;
}

/** Exchange of updates between one node and its peers. */
export interface PeerExchange {
  readonly peers: Peers;
  /** Runs one round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Handles the bytes of a message that arrived from an address. */
  readonly receive: (bytes: Uint8Array, address: string) => void;
  /** Returns the reply to a peer's request; undefined when the request is invalid. */
  readonly handleRequest: (request: unknown) => PeerReply | undefined;
  /** Forwards changes of the store to the nodes of the group that follows it together. */
  readonly forwardChanges: (changes: StoreChanges) => void;
  /** Announces that an endpoint was removed from the registry while this node reached the store. */
  readonly recordDeregistration: (endpoint: string) => void;
  /** Milliseconds since the last load report of another node. */
  readonly readLoadAge: () => number;
  /**
   * Number of live other nodes of the local availability zone; 0 once any of them has reported its
   * load.
   */
  readonly countNodesWithoutLoad: () => number;
  /** Number of messages since the start that could not be decoded. */
  readonly countUnreadable: () => number;
}

/** The encoded messages of one round, with the time of encoding. */
interface EncodedRound {
  readonly at: number;
  readonly updates: Uint8Array;
  readonly replies: Uint8Array;
}

const ROUND_MILLISECONDS = 300;
/** How long a node announces a removed, leaving or lost endpoint, in milliseconds. */
const ANNOUNCE_MILLISECONDS = 3_000;
/** Share of the messages that carry loads in a large availability zone. */
const LARGE_ZONE_LOADS_SHARE = 0.34;
/** Maximum number of entries of each kind (loads, layers and so on) in one message. */
const MAXIMUM_FACTS = 40;
/** Time without an update from any peer after which facts about parts may have been missed. */
const MISSED_FACTS_MILLISECONDS = 1_000;
/**
 * Creates the exchange of updates between a node and its peers.
 *
 * @param options - this node, its state, its store follower and its planner
 * @returns the exchange
 * @example
 * createPeerExchange(options).step();
 */
export function createPeerExchange(options: CreatePeerExchangeOptions): PeerExchange {
  const { self, state, prober, links, logger, now, random, getFollower, getPlanner } = options;
  const { peerPort, onDeregistered, onChanges, getParts, getRateLimits, getPermits, getAdmission } =
    options;
  const { endpoints } = state;
  const deregisteredAt = new Map<string, number>();
  let unreadable = 0;
  /** Whether this node may have missed facts about parts: since its start, or while it was cut off. */
  let needsParts = true;
  let updateReceivedAt = now();

  const isAnnounced = (since = Number.NEGATIVE_INFINITY): boolean =>
    now() - since < ANNOUNCE_MILLISECONDS;
  const listDeregistered = (): string[] => {
    for (const [id, at] of deregisteredAt)
      if (now() - at > ANNOUNCE_MILLISECONDS) deregisteredAt.delete(id);
    return [...deregisteredAt.keys()];
  };
  const listLoads = (): EndpointLoadUpdate[] =>
    endpoints
      .list()
      .filter(({ localRequests }) => localRequests > 0)
      .map((entry) => [entry.record.id, entry.localRequests, Math.round(entry.localTokenLayers)]);
  const pickFacts = <Fact>(facts: readonly Fact[]): Fact[] =>
    facts.length <= MAXIMUM_FACTS
      ? [...facts]
      : shuffleItems(facts, random).slice(0, MAXIMUM_FACTS);
  /** Lists the losses that this node found, unless it may be cut off itself. */
  const listLosses = (list: readonly Endpoint[]): string[] =>
    links.isSuspect()
      ? []
      : list.filter(({ lossFoundAt }) => isAnnounced(lossFoundAt)).map(({ record }) => record.id);
  const createLocalState = (): LocalState => {
    const planner = getPlanner();
    const list = endpoints.list();
    const includesLoads = !peers.isLargeZone() || random() < LARGE_ZONE_LOADS_SHARE;
    return {
      version: state.getVersion(),
      revision: replies.getRevision(),
      isReachable: getFollower().isReachable(),
      isIsolated: links.isIsolated(),
      // In a large zone, the loads of a sample of the nodes are enough to estimate the load of all.
      loads: includesLoads ? pickFacts(listLoads()) : undefined,
      lost: pickFacts(listLosses(list)),
      deregistered: pickFacts(listDeregistered()),
      leaving: pickFacts(list.filter(({ leavingSince }) => isAnnounced(leavingSince))).map(
        ({ record }) => [record.id, record.startedAt] as const,
      ),
      layers: pickFacts([...planner.listLayerUpdates(), ...layerRelay.list()]),
      slowdowns: pickFacts(planner.listSlowdowns()),
    };
  };
  const applyLeaving = (leaving: PeerUpdate['leaving']): void => {
    for (const [id, startedAt] of leaving) {
      const endpoint = endpoints.find(id);
      if (endpoint?.record.startedAt !== startedAt) continue;
      recordLeaving({ endpoints, logger, now: now() }, endpoint, 'peer');
    }
  };
  const applyUpdate = (update: PeerUpdate): void => {
    if (update.loads) remoteLoads.record(update.from, update.loads);
    for (const id of update.deregistered) onDeregistered(id);
    applyLeaving(update.leaving);
    // The findings of a node that is cut off from endpoints say nothing about them.
    if (!update.isIsolated) for (const id of update.lost) lossReports.apply(id, update.from);
    layerRelay.apply(update.layers);
    for (const [id, slowdown] of update.slowdowns) {
      const endpoint = endpoints.find(id);
      if (endpoint) endpoint.slowdown = slowdown;
    }
  };
  const peers = createPeers({
    self,
    now,
    random,
    onChange: (event, node) => {
      logger.log(event, { peer: node.name, incarnation: node.incarnation });
    },
  });
  const replies = createPeerReplies({
    peers,
    state,
    logger,
    now,
    getFollower,
    getParts,
    getRateLimits,
  });
  const layerRelay = createLayerRelay({ endpoints, now });
  const remoteLoads = createRemoteLoads({ self, endpoints, listAlive: peers.listAlive, now });
  const lossReports = createLossReports({
    endpoints,
    prober,
    links,
    logger,
    now,
    random,
    countGroup: () => peers.listGroup().length,
  });
  const requests = createPeerRequests({
    now,
    send: (address) => {
      void peerPort.sendRequest(address, replies.createRequest()).then((reply) => {
        guard(address, () => {
          if (replies.apply(reply)?.hasParts) needsParts = false;
        });
      });
    },
  });
  const requestMissing = (update: PeerUpdate, address: string): void => {
    if (needsParts) requests.requestRarely('parts', address);
    if (update.version > state.getVersion()) requests.request('configuration', address);
    const needsEntries = !getFollower().isReachable() && update.isReachable;
    if (needsEntries && update.revision > replies.getRevision())
      requests.request('entries', address);
    if (update.nodesKnown > peers.countAlive()) requests.requestRarely('nodes', address);
  };
  /** Messages of this round, which are the same for all receivers. */
  let encoded: EncodedRound | undefined;
  const encodeRound = (): EncodedRound => {
    const message = peers.createMessage(createLocalState(), true);
    const updates = encodeUpdate(message);
    const round = { at: now(), updates, replies: encodeUpdate({ ...message, wantsReply: false }) };
    encoded = round;
    return round;
  };
  const sendReply = (address: string): void => {
    const isFresh = encoded && now() - encoded.at < ROUND_MILLISECONDS;
    const round = encoded && isFresh ? encoded : encodeRound();
    peerPort.send(address, round.replies);
  };
  const handleUpdate = (update: PeerUpdate, address: string): void => {
    if (!peers.applyUpdate(update)) return;
    if (now() - updateReceivedAt > MISSED_FACTS_MILLISECONDS) needsParts = true;
    updateReceivedAt = now();
    applyUpdate(update);
    requestMissing(update, address);
    if (update.wantsReply) sendReply(address);
  };
  const findEndpoint = (tag: number): string | undefined => endpoints.findByTag(tag)?.record.id;
  const applyMessage = (bytes: Uint8Array, address: string): void => {
    const message = decodeMessage(bytes, {
      findNode: peers.findNodeByTag,
      findZone: peers.findZoneByTag,
      findEndpoint,
    });
    if (message.kind === 'update') handleUpdate(message.update, address);
    else if (message.kind === 'changes') onChanges(message.changes);
    else if (message.kind === 'parts') getParts().receive(decodePartFacts(message.facts, now()));
    else if (message.kind === 'rateLimits')
      getRateLimits().receive(decodeRateLimits(message.numbers, now(), findEndpoint));
    else if (message.kind === 'permitRequest') {
      const request = decodePermitRequest(message.numbers, now(), findEndpoint);
      if (request) getPermits().handleRequest(request, address);
    } else if (message.kind === 'permitReply')
      getPermits().handleReply(decodePermitReply(message.numbers));
    else if (message.kind === 'demand') getAdmission().receive(message.numbers);
    else if (message.kind === 'unknownSender') requests.request(`sender ${address}`, address);
    else unreadable += 1;
  };
  /** Does what another node asks for; a failure at it ends neither the node nor its loops. */
  const guard = <Value>(address: string, action: () => Value): Value | undefined => {
    try {
      return action();
    } catch (error) {
      logger.log('message-failed', { address, reason: describeError(error) });
      return undefined;
    }
  };

  return {
    peers,
    step: () => {
      peers.sweep();
      remoteLoads.apply();
      requests.dropOld();
      const targets = peers.pickTargets();
      const { updates } = encodeRound();
      for (const address of targets) peerPort.send(address, updates);
      if (targets.length === 0)
        for (const address of options.seeds) requests.request(`seed ${address}`, address);
      return Promise.resolve(ROUND_MILLISECONDS);
    },
    receive: (bytes, address) => {
      guard(address, () => {
        applyMessage(bytes, address);
      });
    },
    handleRequest: (value) => {
      const parsed = peerRequestSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const request = parsed.data;
      return guard(request.node.peerAddress, () => replies.create(request));
    },
    forwardChanges: (changes) => {
      const bytes = encodeStoreChanges(changes, self.incarnation);
      for (const { peerAddress } of peers.listGroup()) peerPort.send(peerAddress, bytes);
    },
    recordDeregistration: (endpoint) => {
      deregisteredAt.set(endpoint, now());
    },
    readLoadAge: remoteLoads.readAge,
    countNodesWithoutLoad: remoteLoads.countNodesWithoutLoad,
    countUnreadable: () => unreadable,
  };
}
