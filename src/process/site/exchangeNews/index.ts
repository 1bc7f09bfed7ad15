/**
 * Exchange of news with other nodes: what this node tells, and what it takes from what it is told.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import type { Examiner } from '../../relay/createExaminer/index.js';
import { noteLeaving } from '../../relay/noteAnswer/index.js';
import { createPeers, type Peers } from '../createPeers/index.js';
import { decodeMessage, encodeChanges, encodeNews } from '../codeMessage/index.js';
import {
  answerSchema,
  questionSchema,
  type EndpointLoadNews,
  type LayerNews,
  type OwnNews,
  type PeerAnswer,
  type PeerNews,
  type PeerQuestion,
  type StoreChanges,
} from '../peerNews/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { SiteState } from '../createSiteState/index.js';
import type { StoreFollower } from '../followStore/index.js';
import type { Planner } from '../runPlanner/index.js';
import { sumLoads, type NodeLoad } from '../sumLoads/index.js';

/** Port to other nodes. */
export interface PeerPort {
  /** Sends a short message, which may be lost. */
  readonly send: (address: string, message: Uint8Array) => void;
  /** Asks a node for what is too long for messages; undefined without an answer. */
  readonly ask: (address: string, question: PeerQuestion) => Promise<unknown>;
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
  /** Called for changes of the store that a peer passed on. */
  readonly onChanges: (changes: StoreChanges) => void;
  readonly getPlanner: () => Pick<Planner, 'listNews' | 'listPaces'>;
}

/** Exchange of one node. */
export interface Exchange {
  readonly peers: Peers;
  /** One round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Takes the bytes of a message from an address. */
  readonly receive: (bytes: Uint8Array, address: string) => void;
  /** Answers a question; undefined when it cannot be read. */
  readonly answer: (question: unknown) => PeerAnswer | undefined;
  /** Passes changes of the store on to the nodes that follow it together with this one. */
  readonly passOn: (changes: StoreChanges) => void;
  /** Tells others that an endpoint left the registry, while the store answered this node. */
  readonly noteGone: (endpoint: string) => void;
  /** Milliseconds since the load of another node was last heard. */
  readonly readLoadAge: () => number;
  /** Living other nodes of the own availability zone, as long as none of them told its load. */
  readonly countUnheardNodes: () => number;
  /** Messages that could not be read since the start. */
  readonly countUnreadable: () => number;
}

/** The messages of one round, and when they were encoded. */
interface EncodedRound {
  readonly at: number;
  readonly tells: Uint8Array;
  readonly answers: Uint8Array;
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
/** Loads, layers and other facts on endpoints in one message at most, of each kind. */
const MOST_FACTS = 40;
/** Nodes of a group that check a loss that they were told of, beside those that use the endpoint. */
const CHECKERS = 4;
/** How long a loss that two nodes told of is believed without being checked, in milliseconds. */
const BELIEVED_LOSS_MILLISECONDS = 1_500;
/** Pause between two questions for the same reason, in milliseconds. */
const ASK_AGAIN_MILLISECONDS = 600;
/** Pause between two questions since others know more nodes, in milliseconds. */
const ASK_NODES_MILLISECONDS = 2_000;

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
  const { peerPort, onGone, onChanges } = options;
  const { endpoints } = state;
  const loadsByNode = new Map<string, { at: number; loads: NodeLoad['loads'] }>();
  const goneAt = new Map<string, number>();
  /** Who told first of the loss of an endpoint, and when. */
  const tellers = new Map<string, { readonly teller: string; readonly at: number }>();
  const relayedLayers = new Map<string, { at: number; news: PeerNews['layers'][number] }>();
  let loadHeardAt = now();
  let unheardNodes = 0;
  /** Store revision of the registry that peers told, while this node cannot reach the store. */
  let toldRevision = 0;
  let unreadable = 0;
  const askedAt = new Map<string, number>();

  const listRelayedLayers = (): LayerNews[] => {
    for (const [id, { at }] of relayedLayers) {
      if (now() - at > RELAYED_MILLISECONDS) relayedLayers.delete(id);
    }
    return [...relayedLayers.values()].map(({ news }) => news);
  };
  const isToldStill = (since = Number.NEGATIVE_INFINITY): boolean =>
    now() - since < GONE_MILLISECONDS;
  const listGone = (): string[] => {
    for (const [id, at] of goneAt) if (now() - at > GONE_MILLISECONDS) goneAt.delete(id);
    return [...goneAt.keys()];
  };
  const listLoads = (): EndpointLoadNews[] =>
    endpoints
      .list()
      .filter(({ ownRequests }) => ownRequests > 0)
      .map((entry) => [entry.record.id, entry.ownRequests, Math.round(entry.ownTokenLayers)]);
  const pickFacts = <Fact>(facts: readonly Fact[]): Fact[] =>
    facts.length <= MOST_FACTS ? [...facts] : shuffleItems(facts, random).slice(0, MOST_FACTS);
  const getRevision = (): number => Math.max(getFollower().getRevision(), toldRevision);
  const createNews = (): OwnNews => {
    const planner = getPlanner();
    const list = endpoints.list();
    const isToldNow = !peers.areMany() || random() < LOADS_SHARE_OF_MANY;
    return {
      version: state.getVersion(),
      revision: getRevision(),
      isReachable: getFollower().isReachable(),
      // Of many nodes, a sample tells the load of all well enough.
      loads: isToldNow ? pickFacts(listLoads()) : undefined,
      lost: pickFacts(list.filter(({ lossFoundAt }) => isToldStill(lossFoundAt))).map(
        ({ record }) => record.id,
      ),
      gone: pickFacts(listGone()),
      leaving: pickFacts(list.filter(({ leavingSince }) => isToldStill(leavingSince))).map(
        ({ record }) => [record.id, record.startedAt] as const,
      ),
      layers: pickFacts([...planner.listNews(), ...listRelayedLayers()]),
      paces: pickFacts(planner.listPaces()),
    };
  };
  const takeEntries = ({ entries, revision }: PeerAnswer): void => {
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
      if (endpoint?.record.startedAt !== bornAt) continue;
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
      if (endpoint?.record.startedAt !== bornAt) continue;
      noteLeaving({ endpoints, logger, now: now() }, endpoint, 'peer');
    }
  };
  /**
   * A node that tells of a loss may be the one that is cut off, so its word is checked: by those that
   * use the endpoint, and by a few others, as a node tells only what it found itself.
   */
  const takeLoss = (id: string, teller: string): void => {
    const endpoint = endpoints.find(id);
    if (!endpoint || endpoint.lostUntil > now()) return;
    const told = tellers.get(id);
    if (told && now() - told.at < GONE_MILLISECONDS) {
      if (told.teller !== teller) endpoints.markLost(endpoint, now(), BELIEVED_LOSS_MILLISECONDS);
      return;
    }
    tellers.set(id, { teller, at: now() });
    const share = CHECKERS / Math.max(1, peers.listGroup().length);
    const isChecked = endpoint.ownRequests > 0 || random() < share;
    if (isChecked) void examiner.examine(id, `told by ${teller}`);
  };
  const takeNews = (news: PeerNews): void => {
    if (news.loads) {
      loadsByNode.set(news.from, { at: now(), loads: news.loads });
      loadHeardAt = now();
    }
    for (const id of news.gone) onGone(id);
    takeLeaving(news.leaving);
    for (const id of news.lost) takeLoss(id, news.from);
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
    onChange: (event, node) => {
      logger.log(event, { peer: node.name, incarnation: node.incarnation });
    },
  });
  const takeAnswer = (value: unknown): void => {
    const parsed = answerSchema.safeParse(value);
    if (!parsed.success) return;
    const answer = parsed.data;
    peers.introduce(answer.nodes);
    if (answer.configuration !== undefined) state.offerConfiguration(answer.configuration, 'peer');
    takeEntries(answer);
  };
  /** Asks a node, unless one was asked for the same reason just now. */
  const askFor = (reason: string, address: string, pause = ASK_AGAIN_MILLISECONDS): void => {
    if (now() - (askedAt.get(reason) ?? Number.NEGATIVE_INFINITY) < pause) return;
    askedAt.set(reason, now());
    const question = {
      node: peers.getSelf(),
      version: state.getVersion(),
      revision: getRevision(),
      isReachable: getFollower().isReachable(),
    };
    void peerPort.ask(address, question).then(takeAnswer);
  };
  const askWhatIsMissing = (news: PeerNews, address: string): void => {
    if (news.version > state.getVersion()) askFor('configuration', address);
    const needsEntries = !getFollower().isReachable() && news.isReachable;
    if (needsEntries && news.revision > getRevision()) askFor('entries', address);
    if (news.nodesKnown > peers.countAlive()) askFor('nodes', address, ASK_NODES_MILLISECONDS);
  };
  /** Messages of this round, which are alike for all that they are sent to. */
  let encoded: EncodedRound | undefined;
  const encodeRound = (): EncodedRound => {
    const message = peers.createMessage(createNews(), true);
    const answers = encodeNews({ ...message, wantsAnswer: false });
    const round = { at: now(), tells: encodeNews(message), answers };
    encoded = round;
    return round;
  };
  const answerNews = (address: string): void => {
    const isFresh = encoded && now() - encoded.at < ROUND_MILLISECONDS;
    const { answers } = encoded && isFresh ? encoded : encodeRound();
    peerPort.send(address, answers);
  };
  const takeMessage = (news: PeerNews, address: string): void => {
    if (!peers.learn(news)) return;
    takeNews(news);
    askWhatIsMissing(news, address);
    if (news.wantsAnswer) answerNews(address);
  };
  const receive = (bytes: Uint8Array, address: string): void => {
    const message = decodeMessage(bytes, {
      findNode: peers.findByTag,
      findZone: peers.findZoneByTag,
      findEndpoint: (tag) => endpoints.findByTag(tag)?.record.id,
    });
    if (message.kind === 'news') takeMessage(message.news, address);
    else if (message.kind === 'changes') onChanges(message.changes);
    else if (message.kind === 'unknownSender') askFor(`sender ${address}`, address);
    else unreadable += 1;
  };

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
    const nodesByZone = new Map<string, number>();
    for (const zone of zones.values()) nodesByZone.set(zone, (nodesByZone.get(zone) ?? 0) + 1);
    const countNodes = (zone: string): number => nodesByZone.get(zone) ?? 0;
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

  return {
    peers,
    step: () => {
      peers.sweep();
      sumOtherLoads();
      for (const [reason, at] of askedAt) {
        if (now() - at > ASK_NODES_MILLISECONDS) askedAt.delete(reason);
      }
      const targets = peers.pickTargets();
      const { tells } = encodeRound();
      for (const address of targets) peerPort.send(address, tells);
      if (targets.length === 0)
        for (const address of options.seeds) askFor(`seed ${address}`, address);
      return Promise.resolve(ROUND_MILLISECONDS);
    },
    receive,
    answer: (value) => {
      const parsed = questionSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const question = parsed.data;
      peers.introduce([question.node]);
      const revision = getRevision();
      const isBehind = question.version < state.getVersion();
      const needsEntries = !question.isReachable && question.revision < revision;
      return {
        nodes: peers.listAlive(),
        revision,
        ...(isBehind && { configuration: state.getText() }),
        ...(needsEntries && { entries: state.listEntries() }),
      };
    },
    passOn: (changes) => {
      const bytes = encodeChanges(changes, self.incarnation);
      for (const { peerAddress } of peers.listGroup()) peerPort.send(peerAddress, bytes);
    },
    noteGone: (endpoint) => {
      goneAt.set(endpoint, now());
    },
    readLoadAge: () => now() - loadHeardAt,
    countUnheardNodes: () => unheardNodes,
    countUnreadable: () => unreadable,
  };
}
