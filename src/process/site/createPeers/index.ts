/**
 * What nodes tell each other: who lives, which configuration and registry they know, and their load.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import { messageSchema, nodeSchema, type OwnNews, type PeerNews } from '../peerNews/index.js';

/** A change in what is known of a node. */
export type NodeEvent = 'node-joined' | 'node-lost' | 'node-leaving';

/** Options of {@link createPeers}. */
export interface CreatePeersOptions {
  readonly self: NodeRecord;
  readonly now: () => number;
  readonly random: () => number;
  /** News of this node; `areMany` when there are so many nodes that messages have to be short. */
  readonly getNews: (areMany: boolean) => OwnNews;
  readonly getConfiguration: () => string | undefined;
  readonly getEntries: () => [string, string][];
  /** Called for each message that another node sent. */
  readonly onNews: (news: PeerNews) => void;
  readonly onChange: (event: NodeEvent, node: NodeRecord) => void;
}

/** Nodes that this node knows. */
export interface Peers {
  readonly setLeaving: () => void;
  readonly isLeaving: () => boolean;
  /** Adds a node that the store names, from its parsed entry. */
  readonly introduceValue: (value: unknown) => void;
  /** Nodes that live, this one included. */
  readonly listAlive: () => NodeRecord[];
  /** Number of nodes that live or were lost lately, this one included. */
  readonly countKnown: () => number;
  /** Begins a round; returns the addresses to send its message to. */
  readonly pickTargets: () => string[];
  readonly createMessage: () => PeerNews;
  /** Takes a message; returns the answer to it, or undefined when it cannot be read. */
  readonly receive: (value: unknown) => PeerNews | undefined;
  /** Takes the answer to a message of this node. */
  readonly takeAnswer: (value: unknown) => void;
  /** Notes nodes that fell silent. */
  readonly sweep: () => void;
}

/** Silence after which a node counts as lost, in milliseconds, and more for each node. */
const LOST_MILLISECONDS = 2_000;
const LOST_MILLISECONDS_A_NODE = 10;
/** Silence after which nothing is sent to a node any more, in milliseconds. */
const FORGOTTEN_MILLISECONDS = 60_000;
/** Peers of the own availability zone that a node sends to in one round, and where they are many. */
const NEAR_FANOUT = 4;
const MANY_NEAR_FANOUT = 2;
/** Peers of the own availability zone from which they are many. */
const MANY_NEAR = 8;
/** Messages to other availability zones that a zone of many nodes sends in one round. */
const FAR_MESSAGES_OF_MANY = 8;
/** Share of rounds in which a lost node is tried again. */
const LOST_TRY_SHARE = 0.25;
/** Beats of other nodes in one message at most. */
const MOST_BEATS = 32;
/** How long a node's record goes along after it changed, in milliseconds. */
const NEWS_MILLISECONDS = 3_000;

interface Known {
  node: NodeRecord;
  beat: number;
  heardAt: number;
  changedAt: number;
  isLost: boolean;
}

function pickSome<Item>(items: readonly Item[], count: number, random: () => number): Item[] {
  const rest = [...items];
  const picked: Item[] = [];
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return picked;
}

/**
 * Creates the knowledge of peers.
 *
 * Each node counts its own rounds; a count that rises, heard directly or through others, shows that
 * the node lives. A node that started again has a higher incarnation.
 *
 * @param options - this node, the clock, and what to tell
 * @returns the peers
 * @example
 * createPeers(options).listAlive();
 */
export function createPeers(options: CreatePeersOptions): Peers {
  const { now, random, getNews, getConfiguration, getEntries, onNews, onChange } = options;
  let self = options.self;
  let selfChangedAt = now();
  let beat = 0;
  const known = new Map<string, Known>();
  const isNear = ({ node }: Known): boolean => node.availabilityZone === self.availabilityZone;
  const areMany = (neighbours: readonly Known[]): boolean => neighbours.length >= MANY_NEAR;
  const listHeard = (): Known[] => [...known.values()].filter(({ isLost }) => !isLost);

  const learnRecord = (node: NodeRecord): void => {
    if (node.name === self.name) return;
    const entry = known.get(node.name);
    if (!entry) {
      const at = now();
      known.set(node.name, { node, beat: 0, heardAt: at, changedAt: at, isLost: false });
      onChange('node-joined', node);
      return;
    }
    if (node.incarnation < entry.node.incarnation) return;
    const isRestart = node.incarnation > entry.node.incarnation;
    const leaves = node.isLeaving && !entry.node.isLeaving;
    if (!isRestart && !leaves) return;
    const isLost = isRestart ? false : entry.isLost;
    const heard = isRestart ? { beat: 0, heardAt: now() } : {};
    Object.assign(entry, { node, changedAt: now(), isLost, ...heard });
    onChange(leaves ? 'node-leaving' : 'node-joined', node);
  };
  const learnBeat = (name: string, incarnation: number, heardBeat: number): void => {
    const entry = known.get(name);
    if (entry?.node.incarnation !== incarnation || heardBeat <= entry.beat) return;
    if (entry.isLost) onChange('node-joined', entry.node);
    Object.assign(entry, { beat: heardBeat, heardAt: now(), isLost: false });
  };
  const learn = (news: PeerNews): void => {
    for (const node of news.nodes) learnRecord(node);
    for (const [name, incarnation, heardBeat] of news.beats)
      learnBeat(name, incarnation, heardBeat);
    onNews(news);
  };
  const createMessage = (): PeerNews => {
    const heard = listHeard();
    const isNews = (changedAt: number): boolean => now() - changedAt < NEWS_MILLISECONDS;
    return {
      ...getNews(areMany(heard.filter(isNear))),
      from: self.name,
      nodesKnown: heard.length + 1,
      beats: [
        [self.name, self.incarnation, beat],
        ...pickSome(heard, MOST_BEATS, random).map((entry): [string, number, number] => [
          entry.node.name,
          entry.node.incarnation,
          entry.beat,
        ]),
      ],
      nodes: [
        ...(isNews(selfChangedAt) ? [self] : []),
        ...heard.filter(({ changedAt }) => isNews(changedAt)).map(({ node }) => node),
      ],
    };
  };
  /** Whether the sender needs no records: this node knows it, and it knows as many nodes. */
  const areAcquainted = (news: PeerNews): boolean =>
    known.has(news.from) && news.nodesKnown >= listHeard().length + 1;

  return {
    setLeaving: () => {
      self = { ...self, isLeaving: true };
      selfChangedAt = now();
    },
    isLeaving: () => self.isLeaving,
    introduceValue: (value) => {
      const parsed = nodeSchema.safeParse(value);
      if (parsed.success) learnRecord(parsed.data);
    },
    listAlive: () => [self, ...listHeard().map(({ node }) => node)],
    countKnown: () => known.size + 1,
    pickTargets: () => {
      beat += 1;
      const heard = listHeard();
      const lost = [...known.values()].filter(({ isLost }) => isLost);
      const tried = random() < LOST_TRY_SHARE ? pickSome(lost, 1, random) : [];
      const neighbours = heard.filter(isNear);
      const isCrowd = areMany(neighbours);
      const near = pickSome(neighbours, isCrowd ? MANY_NEAR_FANOUT : NEAR_FANOUT, random);
      // News spread within a zone; a few messages between zones are enough, and dear.
      const goesFar = !isCrowd || random() < FAR_MESSAGES_OF_MANY / neighbours.length;
      const others = heard.filter((entry) => !isNear(entry));
      const far = goesFar ? pickSome(others, 1, random) : [];
      return [...near, ...far, ...tried].map(({ node }) => node.peerAddress);
    },
    createMessage,
    receive: (value) => {
      const parsed = messageSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const news = parsed.data;
      const isKnown = areAcquainted(news);
      learn(news);
      const answer = createMessage();
      const isBehind = news.version < answer.version;
      const needsEntries = !news.isReachable && news.revision < answer.revision;
      return {
        ...answer,
        ...(!isKnown && { nodes: [self, ...listHeard().map(({ node }) => node)] }),
        ...(isBehind && { configuration: getConfiguration() }),
        ...(needsEntries && { entries: getEntries() }),
      };
    },
    takeAnswer: (value) => {
      const parsed = messageSchema.safeParse(value);
      if (parsed.success) learn(parsed.data);
    },
    sweep: () => {
      for (const [name, entry] of known) {
        const silence = now() - entry.heardAt;
        if (!entry.isLost && silence > LOST_MILLISECONDS + LOST_MILLISECONDS_A_NODE * known.size) {
          entry.isLost = true;
          onChange('node-lost', entry.node);
        }
        if (silence > FORGOTTEN_MILLISECONDS) known.delete(name);
      }
    },
  };
}
