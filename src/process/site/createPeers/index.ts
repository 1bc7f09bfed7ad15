/**
 * What nodes tell each other: who lives, which configuration and registry they know, and their load.
 */
import { z } from 'zod';
import type { NodeRecord } from '../../../types/site/index.js';

const nodeSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  incarnation: z.number(),
  isLeaving: z.boolean(),
});

const messageSchema = z.object({
  from: nodeSchema,
  nodes: z.array(z.object({ node: nodeSchema, beat: z.number() })),
  version: z.number(),
  /** Store revision that the sender has seen, and whether it can reach the store. */
  revision: z.number(),
  isReachable: z.boolean(),
  /** Requests and tokens times layers of the sender, by endpoint. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number()])),
  /** Endpoints that the sender avoids, and for how many milliseconds more. */
  avoided: z.array(z.tuple([z.string(), z.number()])),
  /** Layers that orders brought lately: endpoint, its birth, its accepted orders, from, to. */
  layers: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()])),
  /** Slow endpoints and their factor. */
  paces: z.array(z.tuple([z.string(), z.number()])),
  configuration: z.string().optional(),
  entries: z.array(z.tuple([z.string(), z.string()])).optional(),
});

/** A message between nodes. */
export type PeerNews = z.infer<typeof messageSchema>;

/** What this node has to tell, without its knowledge of nodes. */
export type OwnNews = Omit<PeerNews, 'from' | 'nodes' | 'configuration' | 'entries'>;

/** Options of {@link createPeers}. */
export interface CreatePeersOptions {
  readonly self: NodeRecord;
  readonly now: () => number;
  readonly random: () => number;
  readonly getNews: () => OwnNews;
  readonly getConfiguration: () => string | undefined;
  readonly getEntries: () => [string, string][];
  /** Called for each message that another node sent. */
  readonly onNews: (news: PeerNews) => void;
  readonly onChange: (
    event: 'node-joined' | 'node-lost' | 'node-leaving',
    node: NodeRecord,
  ) => void;
}

/** Nodes that this node knows. */
export interface Peers {
  readonly setLeaving: () => void;
  readonly isLeaving: () => boolean;
  /** Adds a node that the store names, from its parsed entry. */
  readonly introduceValue: (value: unknown) => void;
  /** Nodes that live, this one included. */
  readonly listAlive: () => NodeRecord[];
  /** Addresses to send this round's message to. */
  readonly pickTargets: () => string[];
  readonly createMessage: () => PeerNews;
  /** Takes a message; returns the answer to it, or undefined when it cannot be read. */
  readonly receive: (value: unknown) => PeerNews | undefined;
  /** Takes the answer to a message of this node. */
  readonly takeAnswer: (value: unknown) => void;
  /** Notes nodes that fell silent. */
  readonly sweep: () => void;
}

/** Silence after which a node counts as lost, in milliseconds. */
const LOST_MILLISECONDS = 2_000;
/** Silence after which nothing is sent to a node any more, in milliseconds. */
const FORGOTTEN_MILLISECONDS = 60_000;
/** Peers that a node sends to in one round. */
const FANOUT = 5;
/** Share of rounds in which a lost node is tried again. */
const LOST_TRY_SHARE = 0.25;

interface Known {
  node: NodeRecord;
  beat: number;
  heardAt: number;
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
  let beat = 0;
  const known = new Map<string, Known>();

  const isNewer = (left: NodeRecord, right: NodeRecord): boolean =>
    left.incarnation > right.incarnation ||
    (left.incarnation === right.incarnation && left.isLeaving && !right.isLeaving);
  const hear = (node: NodeRecord, heardBeat: number): void => {
    if (node.name === self.name) return;
    const entry = known.get(node.name);
    if (!entry) {
      known.set(node.name, { node, beat: heardBeat, heardAt: now(), isLost: false });
      onChange('node-joined', node);
      return;
    }
    if (node.incarnation < entry.node.incarnation) return;
    const isRestart = node.incarnation > entry.node.incarnation;
    if (!isRestart && heardBeat <= entry.beat) return;
    if (node.isLeaving && !entry.node.isLeaving) onChange('node-leaving', node);
    if (entry.isLost || isRestart) onChange('node-joined', node);
    if (isNewer(node, entry.node)) entry.node = node;
    Object.assign(entry, { beat: heardBeat, heardAt: now(), isLost: false });
  };
  const learn = (news: PeerNews): void => {
    for (const { node, beat: heardBeat } of news.nodes) hear(node, heardBeat);
    onNews(news);
  };
  const createMessage = (): PeerNews => ({
    ...getNews(),
    from: self,
    nodes: [
      { node: self, beat },
      ...[...known.values()]
        .filter(({ isLost }) => !isLost)
        .map((entry) => ({ node: entry.node, beat: entry.beat })),
    ],
  });

  return {
    setLeaving: () => {
      self = { ...self, isLeaving: true };
    },
    isLeaving: () => self.isLeaving,
    introduceValue: (value) => {
      const parsed = nodeSchema.safeParse(value);
      if (!parsed.success) return;
      const entry = known.get(parsed.data.name);
      if (!entry || parsed.data.incarnation > entry.node.incarnation) hear(parsed.data, 0);
    },
    listAlive: () => [
      self,
      ...[...known.values()].filter(({ isLost }) => !isLost).map(({ node }) => node),
    ],
    pickTargets: () => {
      beat += 1;
      const entries = [...known.values()];
      const alive = entries.filter(({ isLost }) => !isLost);
      const lost = entries.filter(({ isLost }) => isLost);
      const tried = random() < LOST_TRY_SHARE ? pickSome(lost, 1, random) : [];
      return [...pickSome(alive, FANOUT, random), ...tried].map(({ node }) => node.peerAddress);
    },
    createMessage,
    receive: (value) => {
      const parsed = messageSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const news = parsed.data;
      learn(news);
      const answer = createMessage();
      const isBehind = news.version < answer.version;
      const needsEntries = !news.isReachable && news.revision < answer.revision;
      return {
        ...answer,
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
        if (!entry.isLost && silence > LOST_MILLISECONDS) {
          entry.isLost = true;
          onChange('node-lost', entry.node);
        }
        if (silence > FORGOTTEN_MILLISECONDS) known.delete(name);
      }
    },
  };
}
