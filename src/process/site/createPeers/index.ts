/**
 * What a node knows of the other nodes of its site: who lives, and whom to send messages to.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { tagNode } from '../codeMessage/index.js';
import { nodeSchema, type OwnNews, type PeerNews } from '../peerNews/index.js';

/** A change in what is known of a node. */
export type NodeEvent = 'node-joined' | 'node-lost' | 'node-leaving';

/** Options of {@link createPeers}. */
export interface CreatePeersOptions {
  readonly self: NodeRecord;
  readonly now: () => number;
  readonly random: () => number;
  readonly onChange: (event: NodeEvent, node: NodeRecord) => void;
}

/** Nodes that this node knows. */
export interface Peers {
  readonly setLeaving: () => void;
  readonly getSelf: () => NodeRecord;
  /** Adds a node that the store names, from its parsed entry. */
  readonly introduceValue: (value: unknown) => void;
  /** Adds nodes that another node told of. */
  readonly introduce: (nodes: readonly NodeRecord[]) => void;
  /** Nodes that live, this one included. */
  readonly listAlive: () => NodeRecord[];
  readonly countAlive: () => number;
  /**
   * Living other nodes that follow the store together with this one: those of its availability zone
   * where they are many, else those of the site.
   */
  readonly listGroup: () => NodeRecord[];
  /** Those of the group that do not leave and reach the store, as they say. */
  readonly listReaching: () => NodeRecord[];
  /** Number of nodes that live or were lost lately, this one included. */
  readonly countKnown: () => number;
  /** Whether the own availability zone has so many nodes that messages have to be short. */
  readonly areMany: () => boolean;
  /** Name of the availability zone with a tag. */
  readonly findZoneByTag: (tag: number) => string | undefined;
  /** Name and incarnation of the node with a tag. */
  readonly findByTag: (tag: number) => NodeRecord | undefined;
  /** Begins a round; returns the addresses to send its message to. */
  readonly pickTargets: () => string[];
  readonly createMessage: (own: OwnNews, wantsAnswer: boolean) => PeerNews;
  /** Takes what a message says of nodes; false when a newer one of its sender was taken before. */
  readonly learn: (news: PeerNews) => boolean;
  /** Notes nodes that fell silent. */
  readonly sweep: () => void;
}

/** Silence after which a node counts as lost, in milliseconds. */
const LOST_MILLISECONDS = 1_700;
/** The same for a node of another zone whose beats come seldom; its own zone tells of its loss. */
const FAR_LOST_MILLISECONDS = 20_000;
/** Silence of all nodes of another zone, towards the own zone, after which they count as lost. */
const ZONE_LOST_MILLISECONDS = 3_000;
/** Silence after which nothing is sent to a node any more, in milliseconds. */
const FORGOTTEN_MILLISECONDS = 60_000;
/** Peers of the own availability zone that a node sends to in one round, and in a site of many nodes. */
const NEAR_FANOUT = 4;
const MANY_NEAR_FANOUT = 2;
/** Nodes from which a site has many. */
const MANY_NODES = 12;
/** Peers of the own availability zone from which they are many. */
const MANY_NEAR = 8;
/** Messages to other availability zones that a zone sends in one round, in a site of many nodes. */
const FAR_MESSAGES_OF_MANY = 8;
/** Share of rounds in which a node of such a site sends to another zone at most. */
const MOST_FAR_SHARE = 0.5;
/** Share of rounds in which a lost node is tried again. */
const LOST_TRY_SHARE = 0.25;
/** Beats in one message at most, of nodes of the own availability zone and of others. */
const MOST_NEAR_BEATS = 40;
const MOST_FAR_BEATS = 10;
/** How long changes of nodes go along with messages, in milliseconds, and how many at most. */
const NEWS_MILLISECONDS = 3_000;
const MOST_NODES = 3;
const MOST_LOST_NODES = 12;

interface Known {
  node: NodeRecord;
  readonly tag: number;
  beat: number;
  heardAt: number;
  changedAt: number;
  isLost: boolean;
  lostAt: number;
  /** Whether others are told of its loss: it was told by its own zone, or this node is in it. */
  isLossTold: boolean;
  /** Whether the node reaches the store, as it said last. */
  isReachable: boolean;
  /** Beat of the last message that came from the node itself. */
  messageBeat: number;
}

function pickSome<Item>(items: readonly Item[], count: number, random: () => number): Item[] {
  if (items.length <= count) return shuffleItems(items, random);
  const picked = new Set<Item>();
  while (picked.size < count) {
    const item = items[Math.floor(random() * items.length)];
    if (item !== undefined) picked.add(item);
  }
  return [...picked];
}

/**
 * Creates the knowledge of peers.
 *
 * Each node counts its own rounds; a count that rises, heard directly or through others, shows that
 * the node lives. A node that started again has a higher incarnation. Where nodes are many, messages
 * hold few counts of other availability zones; a loss there is told by the zone itself.
 *
 * @param options - this node, the clock, and what to tell
 * @returns the peers
 * @example
 * createPeers(options).listAlive();
 */
export function createPeers(options: CreatePeersOptions): Peers {
  const { now, random, onChange } = options;
  let self = options.self;
  let selfChangedAt = now();
  let beat = 0;
  const known = new Map<string, Known>();
  const byTag = new Map<number, Known>();
  /** When a node of the own zone last heard a node of another zone directly, by that zone. */
  const zoneHeardAt = new Map<string, number>();
  const zonesByTag = new Map<number, string>();
  const isNear = ({ node }: Known): boolean => node.availabilityZone === self.availabilityZone;
  const listHeard = (): Known[] => [...known.values()].filter(({ isLost }) => !isLost);
  const listNear = (): Known[] => listHeard().filter(isNear);
  const areMany = (): boolean => listNear().length >= MANY_NEAR;

  const setKnown = (node: NodeRecord): void => {
    const at = now();
    const before = known.get(node.name);
    if (before) byTag.delete(before.tag);
    const entry: Known = {
      node,
      tag: tagNode(node),
      beat: 0,
      heardAt: at,
      changedAt: at,
      isLost: false,
      lostAt: Number.NEGATIVE_INFINITY,
      isLossTold: false,
      isReachable: true,
      messageBeat: -1,
    };
    known.set(node.name, entry);
    zonesByTag.set(hashText(node.availabilityZone), node.availabilityZone);
    byTag.set(entry.tag, entry);
  };
  const learnRecord = (node: NodeRecord): void => {
    if (node.name === self.name) return;
    const entry = known.get(node.name);
    if (!entry || node.incarnation > entry.node.incarnation) {
      setKnown(node);
      onChange(node.isLeaving ? 'node-leaving' : 'node-joined', node);
      return;
    }
    const leaves = node.isLeaving && !entry.node.isLeaving;
    if (node.incarnation < entry.node.incarnation || !leaves) return;
    Object.assign(entry, { node, changedAt: now() });
    onChange('node-leaving', node);
  };
  const learnBeat = (name: string, incarnation: number, heardBeat: number): void => {
    const entry = known.get(name);
    if (entry?.node.incarnation !== incarnation || heardBeat <= entry.beat) return;
    if (entry.isLost) onChange('node-joined', entry.node);
    Object.assign(entry, { beat: heardBeat, heardAt: now(), isLost: false });
  };
  const noteZone = (zone: string, age: number): void => {
    const at = Math.max(zoneHeardAt.get(zone) ?? Number.NEGATIVE_INFINITY, now() - age);
    zoneHeardAt.set(zone, at);
  };
  const learnZones = (sender: NodeRecord, zones: PeerNews['zones']): void => {
    noteZone(sender.availabilityZone, 0);
    if (sender.availabilityZone !== self.availabilityZone) return;
    for (const [zone, age] of zones) noteZone(zone, age);
  };
  const lose = (entry: Known, isLossTold: boolean): void => {
    Object.assign(entry, { isLost: true, lostAt: now(), isLossTold });
    onChange('node-lost', entry.node);
  };
  /** Others heard no later beat than this node did, so that the loss is no news that is out of date. */
  const learnLoss = (name: string, incarnation: number, lastBeat: number): void => {
    const entry = known.get(name);
    if (!entry || entry.isLost || isNear(entry)) return;
    if (entry.node.incarnation === incarnation && entry.beat <= lastBeat) lose(entry, true);
  };
  const tellBeat = ({ node, beat: heard }: Known): [string, number, number] => [
    node.name,
    node.incarnation,
    heard,
  ];
  const pickBeats = (heard: readonly Known[]): Known[] => [
    ...pickSome(heard.filter(isNear), MOST_NEAR_BEATS, random),
    ...pickSome(
      heard.filter((entry) => !isNear(entry)),
      MOST_FAR_BEATS,
      random,
    ),
  ];
  const listGroup = (): Known[] => (areMany() ? listNear() : listHeard());
  const isRecent = (at: number): boolean => now() - at < NEWS_MILLISECONDS;
  const listLossesToTell = (): Known[] => {
    const near = [...known.values()].filter(isNear);
    // A node that hears few of its own zone is more likely cut off itself.
    const seemsCutOff = near.filter(({ isLost }) => isLost).length > near.length / 2;
    if (seemsCutOff) return [];
    return [...known.values()].filter(
      ({ isLost, isLossTold, lostAt }) => isLost && isLossTold && isRecent(lostAt),
    );
  };
  const findLimit = (entry: Known): number => {
    const isAlwaysTold = known.size <= MOST_FAR_BEATS;
    return isNear(entry) || isAlwaysTold ? LOST_MILLISECONDS : FAR_LOST_MILLISECONDS;
  };
  const isSilent = (entry: Known): boolean => {
    if (now() - entry.heardAt > findLimit(entry)) return true;
    const zoneHeard = zoneHeardAt.get(entry.node.availabilityZone) ?? entry.heardAt;
    const since = Math.max(zoneHeard, entry.changedAt);
    return !isNear(entry) && now() - since > ZONE_LOST_MILLISECONDS;
  };

  return {
    setLeaving: () => {
      self = { ...self, isLeaving: true };
      selfChangedAt = now();
    },
    getSelf: () => self,
    introduceValue: (value) => {
      const parsed = nodeSchema.safeParse(value);
      if (parsed.success) learnRecord(parsed.data);
    },
    introduce: (nodes) => {
      for (const node of nodes) learnRecord(node);
    },
    listAlive: () => [self, ...listHeard().map(({ node }) => node)],
    countAlive: () => listHeard().length + 1,
    listGroup: () => listGroup().map(({ node }) => node),
    listReaching: () =>
      listGroup()
        .filter(({ node, isReachable }) => isReachable && !node.isLeaving)
        .map(({ node }) => node),
    countKnown: () => known.size + 1,
    areMany,
    findZoneByTag: (tag) => zonesByTag.get(tag),
    findByTag: (tag) => byTag.get(tag)?.node,
    pickTargets: () => {
      beat += 1;
      const heard = listHeard();
      const lost = [...known.values()].filter(({ isLost }) => isLost);
      const tried = random() < LOST_TRY_SHARE ? pickSome(lost, 1, random) : [];
      const neighbours = heard.filter(isNear);
      const isCrowd = heard.length >= MANY_NODES;
      const near = pickSome(neighbours, isCrowd ? MANY_NEAR_FANOUT : NEAR_FANOUT, random);
      // News spread within a zone; a few messages between zones are enough, and dear.
      const farShare = Math.min(MOST_FAR_SHARE, FAR_MESSAGES_OF_MANY / neighbours.length);
      const goesFar = !isCrowd || random() < farShare;
      const others = heard.filter((entry) => !isNear(entry));
      const far = goesFar ? pickSome(others, 1, random) : [];
      return [...near, ...far, ...tried].map(({ node }) => node.peerAddress);
    },
    createMessage: (own, wantsAnswer) => {
      const heard = listHeard();
      const changed = heard.filter(({ changedAt }) => isRecent(changedAt));
      return {
        ...own,
        from: self.name,
        wantsAnswer,
        nodesKnown: heard.length + 1,
        beats: [[self.name, self.incarnation, beat], ...pickBeats(heard).map(tellBeat)],
        lostNodes: pickSome(listLossesToTell(), MOST_LOST_NODES, random).map(tellBeat),
        zones: [...zoneHeardAt]
          .filter(([zone]) => zone !== self.availabilityZone)
          .map(([zone, at]) => [zone, now() - at]),
        nodes: [
          ...(isRecent(selfChangedAt) ? [self] : []),
          ...pickSome(changed, MOST_NODES, random).map(({ node }) => node),
        ],
      };
    },
    learn: (news) => {
      const [, , senderBeat = 0] = news.beats[0] ?? [];
      if (senderBeat < (known.get(news.from)?.messageBeat ?? 0)) return false;
      for (const node of news.nodes) learnRecord(node);
      for (const [name, incarnation, heardBeat] of news.beats)
        learnBeat(name, incarnation, heardBeat);
      for (const [name, incarnation, lastBeat] of news.lostNodes)
        learnLoss(name, incarnation, lastBeat);
      const sender = known.get(news.from);
      if (!sender) return true;
      Object.assign(sender, { isReachable: news.isReachable, messageBeat: senderBeat });
      learnZones(sender.node, news.zones);
      return true;
    },
    sweep: () => {
      for (const [name, entry] of known) {
        if (!entry.isLost && isSilent(entry)) lose(entry, isNear(entry));
        if (now() - entry.heardAt <= FORGOTTEN_MILLISECONDS) continue;
        known.delete(name);
        byTag.delete(entry.tag);
      }
    },
  };
}
