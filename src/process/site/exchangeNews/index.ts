/**
 * Exchange of news with other nodes: what this node tells, and what it takes from what it is told.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import type { Examiner } from '../../relay/createExaminer/index.js';
import { createPeers, type Peers } from '../createPeers/index.js';
import type { OwnNews, PeerNews } from '../peerNews/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { SiteState } from '../createSiteState/index.js';
import type { StoreFollower } from '../followStore/index.js';
import type { Planner } from '../runPlanner/index.js';
import { sumLoads, type NodeLoad } from '../sumLoads/index.js';

/** Port to other nodes. */
export interface PeerPort {
  /** Sends a message; resolves to the answer, or undefined when there is none. */
  readonly tell: (address: string, message: PeerNews) => Promise<unknown>;
}

/** Options of {@link createExchange}. */
export interface CreateExchangeOptions {
  readonly self: NodeRecord;
  /** Addresses of nodes to begin with, if any. */
  readonly seeds: readonly string[];
  readonly state: SiteState;
  readonly examiner: Examiner;
  readonly logger: SiteLogger;
  readonly peerPort: PeerPort;
  readonly now: () => number;
  readonly random: () => number;
  readonly getFollower: () => Pick<StoreFollower, 'getRevision' | 'isReachable'>;
  /** Called for an endpoint that a peer saw leave the registry. */
  readonly onGone: (endpoint: string) => void;
  readonly getPlanner: () => Pick<Planner, 'listNews' | 'listPaces'>;
}

/** Exchange of one node. */
export interface Exchange {
  readonly peers: Peers;
  /** One round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Tells others that an endpoint left the registry, while the store answered this node. */
  readonly noteGone: (endpoint: string) => void;
  /** Milliseconds since the load of another node was last heard. */
  readonly readLoadAge: () => number;
  /** Living other nodes of the own availability zone, as long as none of them told its load. */
  readonly countUnheardNodes: () => number;
}

const ROUND_MILLISECONDS = 300;
/** How long a node passes on news of layers that it was told, in milliseconds. */
const RELAYED_MILLISECONDS = 1_500;
/** How long a node tells others of an endpoint that left, in milliseconds. */
const GONE_MILLISECONDS = 3_000;
/** Share of the messages that carry loads where nodes are many. */
const LOADS_SHARE_OF_MANY = 0.34;
/** How long a node's load is believed after it told of it, in milliseconds. */
const LOAD_MILLISECONDS = 2_500;

/**
 * Creates the exchange.
 *
 * @param options - this node, its state, and what it follows
 * @returns the exchange
 * @example
 * createExchange(options).step();
 */
export function createExchange(options: CreateExchangeOptions): Exchange {
  const { self, state, examiner, logger, now, random, getFollower, getPlanner } = options;
  const { endpoints } = state;
  const loadsByNode = new Map<string, { at: number; loads: NodeLoad['loads'] }>();
  const goneAt = new Map<string, number>();
  const relayedLayers = new Map<string, { at: number; news: PeerNews['layers'][number] }>();
  let loadHeardAt = now();
  let unheardNodes = 0;
  /** Store revision of the registry that peers told, while this node cannot reach the store. */
  let toldRevision = 0;

  const listRelayedLayers = (): PeerNews['layers'] => {
    for (const [id, { at }] of relayedLayers) {
      if (now() - at > RELAYED_MILLISECONDS) relayedLayers.delete(id);
    }
    return [...relayedLayers.values()].map(({ news }) => news);
  };
  const listGone = (): string[] => {
    for (const [id, at] of goneAt) if (now() - at > GONE_MILLISECONDS) goneAt.delete(id);
    return [...goneAt.keys()];
  };
  const listLoads = (): PeerNews['loads'] =>
    endpoints
      .list()
      .filter(({ ownRequests }) => ownRequests > 0)
      .map((entry) => [entry.record.id, entry.ownRequests, Math.round(entry.ownTokenLayers)]);
  const createNews = (areMany: boolean): OwnNews => {
    const follower = getFollower();
    const planner = getPlanner();
    const list = endpoints.list();
    return {
      version: state.getVersion(),
      revision: Math.max(follower.getRevision(), toldRevision),
      isReachable: follower.isReachable(),
      // Of many nodes, a sample tells the load of all well enough.
      ...((!areMany || random() < LOADS_SHARE_OF_MANY) && { loads: listLoads() }),
      lost: list
        .filter(({ lostUntil }) => lostUntil > now())
        .map(({ record, lostUntil }) => [record.id, Math.round(lostUntil - now())]),
      gone: listGone(),
      leaving: list
        .filter(
          ({ leavingSince = Number.NEGATIVE_INFINITY }) => now() - leavingSince < GONE_MILLISECONDS,
        )
        .map(({ record }) => [record.id, record.bornAt]),
      layers: [...planner.listNews(), ...listRelayedLayers()],
      paces: planner.listPaces(),
    };
  };
  const takeEntries = ({ entries, revision }: PeerNews): void => {
    if (!entries || getFollower().isReachable() || revision <= toldRevision) return;
    toldRevision = revision;
    const present = new Set(entries.map(([id]) => id));
    for (const [id, text] of entries) state.offerEndpoint(id, text, 'peer');
    for (const [id] of state.listEntries()) {
      if (!present.has(id)) state.offerEndpoint(id, undefined, 'peer');
    }
  };
  const takeLayers = (layers: PeerNews['layers']): void => {
    for (const news of layers) {
      const [id, bornAt, acceptedOrders, from, to] = news;
      const endpoint = endpoints.find(id);
      if (endpoint?.record.bornAt !== bornAt) continue;
      const known = endpoint.acceptedOrders ?? 0;
      if (known > acceptedOrders) continue;
      // News are passed on, since the planner itself reaches few nodes in a round.
      if (known < acceptedOrders) relayedLayers.set(id, { at: now(), news });
      endpoint.acceptedOrders = acceptedOrders;
      endpoint.layersReportedAt = now();
      endpoint.layers = to > from ? { from, to } : undefined;
    }
  };
  const takeLeaving = (leaving: PeerNews['leaving']): void => {
    for (const [id, bornAt] of leaving) {
      const endpoint = endpoints.find(id);
      if (endpoint?.record.bornAt !== bornAt || !endpoints.markLeaving(endpoint, now())) continue;
      logger.log('endpoint-leaving', { endpoint: id, source: 'peer' });
    }
  };
  const takeNews = (news: PeerNews): void => {
    if (news.configuration !== undefined) state.offerConfiguration(news.configuration, 'peer');
    takeEntries(news);
    if (news.loads) {
      loadsByNode.set(news.from, { at: now(), loads: news.loads });
      loadHeardAt = now();
    }
    for (const id of news.gone) options.onGone(id);
    takeLeaving(news.leaving);
    for (const [id] of news.lost) {
      const endpoint = endpoints.find(id);
      // The sender may be the one that is cut off, so its word is checked.
      const isNews = endpoint && endpoint.lostUntil <= now();
      if (isNews) void examiner.examine(id, `told by ${news.from}`);
    }
    takeLayers(news.layers);
    for (const [id, pace] of news.paces) {
      const endpoint = endpoints.find(id);
      if (endpoint) endpoint.pace = pace;
    }
  };
  const peers = createPeers({
    self,
    now,
    random,
    getNews: createNews,
    getConfiguration: state.getText,
    getEntries: state.listEntries,
    onNews: takeNews,
    onChange: (event, node) => {
      logger.log(event, { peer: node.name, incarnation: node.incarnation });
    },
  });

  const sumOtherLoads = (): void => {
    const alive = peers.listAlive().filter(({ name }) => name !== self.name);
    const zones = new Map(alive.map(({ name, availabilityZone }) => [name, availabilityZone]));
    const heard: NodeLoad[] = [];
    for (const [name, { at, loads }] of loadsByNode) {
      const availabilityZone = zones.get(name);
      if (availabilityZone === undefined || now() - at > LOAD_MILLISECONDS)
        loadsByNode.delete(name);
      else heard.push({ availabilityZone, loads });
    }
    const countNodes = (zone: string): number =>
      alive.filter(({ availabilityZone }) => availabilityZone === zone).length;
    const isHeard = heard.some(
      ({ availabilityZone }) => availabilityZone === self.availabilityZone,
    );
    unheardNodes = isHeard ? 0 : countNodes(self.availabilityZone);
    const sums = sumLoads(heard, countNodes);
    for (const endpoint of endpoints.list()) {
      const sum = sums.get(endpoint.record.id);
      endpoint.otherRequests = sum?.requests ?? 0;
      endpoint.otherTokenLayers = sum?.tokenLayers ?? 0;
    }
  };

  const tell = async (address: string, body: PeerNews): Promise<void> => {
    const answer = await options.peerPort.tell(address, body);
    if (answer !== undefined) peers.takeAnswer(answer);
  };
  return {
    peers,
    step: async () => {
      peers.sweep();
      sumOtherLoads();
      const targets = peers.pickTargets();
      const body = peers.createMessage();
      const addresses = targets.length > 0 ? targets : options.seeds;
      await Promise.all(addresses.map((address) => tell(address, body)));
      return ROUND_MILLISECONDS;
    },
    noteGone: (endpoint) => {
      goneAt.set(endpoint, now());
    },
    readLoadAge: () => now() - loadHeardAt,
    countUnheardNodes: () => unheardNodes,
  };
}
