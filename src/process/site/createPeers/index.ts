/**
 * State of the other nodes of the site as this node knows it: which are live, and where to send messages.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import { hashText } from '../../hashRendezvous/index.js';
import { tagNode } from '../peerMessageCodec/index.js';
import { nodeSchema, type LocalState, type PeerUpdate } from '../peerMessages/index.js';

/** Change in the known state of a node. */
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
  /** Adds a node that is registered in the store, from its parsed entry. */
  readonly addStoredNode: (value: unknown) => void;
  /** Adds nodes that another node reported. */
  readonly addNodes: (nodes: readonly NodeRecord[]) => void;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => NodeRecord[];
  readonly countAlive: () => number;
  /** Lists the other live nodes that are not leaving and not known to be cut off from endpoints. */
  readonly listConnected: () => NodeRecord[];
  /**
   * Lists the other live nodes that follow the store together with this one: those of the local
   * availability zone where it is large, else those of the site.
   */
  readonly listGroup: () => NodeRecord[];
  /** Lists the nodes of the group that are not leaving and that report access to the store. */
  readonly listReachingStore: () => NodeRecord[];
  /** Counts the nodes that are live or were lost recently, this one included. */
  readonly countKnown: () => number;
  /** Whether the local availability zone has so many nodes that messages have to be short. */
  readonly isLargeZone: () => boolean;
  /** Returns the name of the availability zone with a tag. */
  readonly findZoneByTag: (tag: number) => string | undefined;
  /** Returns the record of the node with a tag. */
  readonly findNodeByTag: (tag: number) => NodeRecord | undefined;
  /** Starts a round; returns the addresses to send its message to. */
  readonly pickTargets: () => string[];
  readonly createMessage: (localState: LocalState, wantsReply: boolean) => PeerUpdate;
  /**
   * Applies what an update says of nodes; returns false when a newer update of its sender was
   * applied before.
   */
  readonly applyUpdate: (update: PeerUpdate) => boolean;
  /**
   * Marks nodes that stopped responding as lost, and removes those that have been lost for long.
   */
  readonly sweep: () => void;
}

/** Time without a new heartbeat after which a node counts as lost, in milliseconds. */
const LOST_MILLISECONDS = 1_700;
/**
 * The same for a node of a remote zone, whose heartbeats are sent rarely; its own zone announces
 * its loss.
 */
const REMOTE_LOST_MILLISECONDS = 20_000;
/**
 * Time without any message from a remote zone to the local zone after which its nodes count as
 * lost.
 */
const ZONE_LOST_MILLISECONDS = 3_000;
/**
 * Time without a new heartbeat after which a node is removed and nothing is sent to it, in
 * milliseconds.
 */
const REMOVAL_MILLISECONDS = 60_000;
/** Zone peers that a node sends to in one round, in a small site and in a large one. */
const LOCAL_ZONE_FANOUT = 4;
const LARGE_SITE_LOCAL_ZONE_FANOUT = 2;
/** Number of live peers from which a site counts as large. */
const LARGE_SITE_NODES = 12;
/** Number of live zone peers from which an availability zone counts as large. */
const LARGE_ZONE_NODES = 8;
/**
 * Messages that the nodes of a zone together send to remote zones in one round, in a large site.
 */
const LARGE_SITE_REMOTE_MESSAGES = 8;
/** Maximum share of rounds in which a node of a large site sends to a remote zone. */
const MAXIMUM_REMOTE_SHARE = 0.5;
/** Share of rounds in which a message is also sent to a lost node. */
const LOST_RETRY_SHARE = 0.25;
/** Maximum number of heartbeat counters in one message, of the local zone and of remote zones. */
const MAXIMUM_LOCAL_HEARTBEATS = 40;
const MAXIMUM_REMOTE_HEARTBEATS = 10;
/** How long changes of nodes are included in messages, in milliseconds, and how many at most. */
const ANNOUNCE_MILLISECONDS = 3_000;
const MAXIMUM_NODE_RECORDS = 3;
const MAXIMUM_LOST_NODES = 12;

interface PeerEntry {
  node: NodeRecord;
  readonly tag: number;
  heartbeat: number;
  lastSeenAt: number;
  changedAt: number;
  isLost: boolean;
  lostAt: number;
  /** Whether to announce its loss: its own zone reported it, or this node is in that zone. */
  isLossAnnounced: boolean;
  /** Whether the node reaches the store, according to its last update. */
  isReachable: boolean;
  /** Whether the node is cut off from endpoints, according to its last update. */
  isIsolated: boolean;
  /** Heartbeat counter of the last update that the node itself sent. */
  messageHeartbeat: number;
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
 * Creates the table of peers.
 *
 * Each node counts its own rounds as a heartbeat counter. A counter that rises, received directly or
 * through other nodes, shows that the node is live. A node that restarted has a higher incarnation.
 * In a large site, messages hold few counters of remote zones; a loss there is announced by the
 * nodes of that zone.
 *
 * @param options - this node, the clock, and the callback for changes
 * @returns the peers
 * @example
 * createPeers(options).listAlive();
 */
export function createPeers(options: CreatePeersOptions): Peers {
  const { now, random, onChange } = options;
  let self = options.self;
  let selfChangedAt = now();
  let selfHeartbeat = 0;
  const known = new Map<string, PeerEntry>();
  const peersByTag = new Map<number, PeerEntry>();
  /** When a node of the local zone last received a message from a remote zone, by remote zone. */
  const zoneSeenAt = new Map<string, number>();
  const zonesByTag = new Map<number, string>();
  const isLocalZone = ({ node }: PeerEntry): boolean =>
    node.availabilityZone === self.availabilityZone;
  const listLive = (): PeerEntry[] => [...known.values()].filter(({ isLost }) => !isLost);
  const listLocalZone = (): PeerEntry[] => listLive().filter(isLocalZone);
  const isLargeZone = (): boolean => listLocalZone().length >= LARGE_ZONE_NODES;

  const addPeer = (node: NodeRecord): void => {
    const at = now();
    const before = known.get(node.name);
    if (before) peersByTag.delete(before.tag);
    const entry: PeerEntry = {
      node,
      tag: tagNode(node),
      heartbeat: 0,
      lastSeenAt: at,
      changedAt: at,
      isLost: false,
      lostAt: Number.NEGATIVE_INFINITY,
      isLossAnnounced: false,
      isReachable: true,
      isIsolated: false,
      messageHeartbeat: -1,
    };
    known.set(node.name, entry);
    zonesByTag.set(hashText(node.availabilityZone), node.availabilityZone);
    peersByTag.set(entry.tag, entry);
  };
  const applyRecord = (node: NodeRecord): void => {
    if (node.name === self.name) return;
    const entry = known.get(node.name);
    if (!entry || node.incarnation > entry.node.incarnation) {
      addPeer(node);
      onChange(node.isLeaving ? 'node-leaving' : 'node-joined', node);
      return;
    }
    const startsLeaving = node.isLeaving && !entry.node.isLeaving;
    if (node.incarnation < entry.node.incarnation || !startsLeaving) return;
    Object.assign(entry, { node, changedAt: now() });
    onChange('node-leaving', node);
  };
  const applyHeartbeat = (name: string, incarnation: number, heartbeat: number): void => {
    const entry = known.get(name);
    if (entry?.node.incarnation !== incarnation || heartbeat <= entry.heartbeat) return;
    if (entry.isLost) onChange('node-joined', entry.node);
    Object.assign(entry, { heartbeat, lastSeenAt: now(), isLost: false });
  };
  const recordZone = (zone: string, age: number): void => {
    const at = Math.max(zoneSeenAt.get(zone) ?? Number.NEGATIVE_INFINITY, now() - age);
    zoneSeenAt.set(zone, at);
  };
  const applyZones = (sender: NodeRecord, zones: PeerUpdate['zones']): void => {
    recordZone(sender.availabilityZone, 0);
    if (sender.availabilityZone !== self.availabilityZone) return;
    for (const [zone, age] of zones) recordZone(zone, age);
  };
  const markLost = (entry: PeerEntry, isLossAnnounced: boolean): void => {
    Object.assign(entry, { isLost: true, lostAt: now(), isLossAnnounced });
    onChange('node-lost', entry.node);
  };
  /**
   * Applies a reported loss unless it is out of date: this node received a later heartbeat than the
   * reporting node.
   */
  const applyLoss = (name: string, incarnation: number, lastHeartbeat: number): void => {
    const entry = known.get(name);
    if (!entry || entry.isLost || isLocalZone(entry)) return;
    if (entry.node.incarnation === incarnation && entry.heartbeat <= lastHeartbeat)
      markLost(entry, true);
  };
  const toHeartbeat = ({ node, heartbeat }: PeerEntry): [string, number, number] => [
    node.name,
    node.incarnation,
    heartbeat,
  ];
  const pickHeartbeats = (live: readonly PeerEntry[]): PeerEntry[] => [
    ...pickSome(live.filter(isLocalZone), MAXIMUM_LOCAL_HEARTBEATS, random),
    ...pickSome(
      live.filter((entry) => !isLocalZone(entry)),
      MAXIMUM_REMOTE_HEARTBEATS,
      random,
    ),
  ];
  const listGroup = (): PeerEntry[] => (isLargeZone() ? listLocalZone() : listLive());
  const isRecent = (at: number): boolean => now() - at < ANNOUNCE_MILLISECONDS;
  const listLossesToAnnounce = (): PeerEntry[] => {
    const local = [...known.values()].filter(isLocalZone);
    // A node that counts more than half of its zone as lost is more likely isolated itself.
    const isLikelyIsolated = local.filter(({ isLost }) => isLost).length > local.length / 2;
    if (isLikelyIsolated) return [];
    return [...known.values()].filter(
      ({ isLost, isLossAnnounced, lostAt }) => isLost && isLossAnnounced && isRecent(lostAt),
    );
  };
  const findLostLimit = (entry: PeerEntry): number => {
    const isAlwaysIncluded = known.size <= MAXIMUM_REMOTE_HEARTBEATS;
    return isLocalZone(entry) || isAlwaysIncluded ? LOST_MILLISECONDS : REMOTE_LOST_MILLISECONDS;
  };
  const isUnresponsive = (entry: PeerEntry): boolean => {
    if (now() - entry.lastSeenAt > findLostLimit(entry)) return true;
    const zoneSeen = zoneSeenAt.get(entry.node.availabilityZone) ?? entry.lastSeenAt;
    const since = Math.max(zoneSeen, entry.changedAt);
    return !isLocalZone(entry) && now() - since > ZONE_LOST_MILLISECONDS;
  };

  return {
    setLeaving: () => {
      self = { ...self, isLeaving: true };
      selfChangedAt = now();
    },
    getSelf: () => self,
    addStoredNode: (value) => {
      const parsed = nodeSchema.safeParse(value);
      if (parsed.success) applyRecord(parsed.data);
    },
    addNodes: (nodes) => {
      for (const node of nodes) applyRecord(node);
    },
    listAlive: () => [self, ...listLive().map(({ node }) => node)],
    countAlive: () => listLive().length + 1,
    listConnected: () =>
      listLive()
        .filter(({ node, isIsolated }) => !isIsolated && !node.isLeaving)
        .map(({ node }) => node),
    listGroup: () => listGroup().map(({ node }) => node),
    listReachingStore: () =>
      listGroup()
        .filter(({ node, isReachable }) => isReachable && !node.isLeaving)
        .map(({ node }) => node),
    countKnown: () => known.size + 1,
    isLargeZone,
    findZoneByTag: (tag) => zonesByTag.get(tag),
    findNodeByTag: (tag) => peersByTag.get(tag)?.node,
    pickTargets: () => {
      selfHeartbeat += 1;
      const live = listLive();
      const lost = [...known.values()].filter(({ isLost }) => isLost);
      const retried = random() < LOST_RETRY_SHARE ? pickSome(lost, 1, random) : [];
      const zonePeers = live.filter(isLocalZone);
      const isLargeSite = live.length >= LARGE_SITE_NODES;
      const local = pickSome(
        zonePeers,
        isLargeSite ? LARGE_SITE_LOCAL_ZONE_FANOUT : LOCAL_ZONE_FANOUT,
        random,
      );
      // Updates spread within a zone; a few messages between zones, which are expensive, are enough.
      const remoteShare = Math.min(
        MAXIMUM_REMOTE_SHARE,
        LARGE_SITE_REMOTE_MESSAGES / zonePeers.length,
      );
      const includesRemote = !isLargeSite || random() < remoteShare;
      const others = live.filter((entry) => !isLocalZone(entry));
      const remote = includesRemote ? pickSome(others, 1, random) : [];
      return [...local, ...remote, ...retried].map(({ node }) => node.peerAddress);
    },
    createMessage: (localState, wantsReply) => {
      const live = listLive();
      const changed = live.filter(({ changedAt }) => isRecent(changedAt));
      return {
        ...localState,
        from: self.name,
        wantsReply,
        nodesKnown: live.length + 1,
        heartbeats: [
          [self.name, self.incarnation, selfHeartbeat],
          ...pickHeartbeats(live).map(toHeartbeat),
        ],
        lostNodes: pickSome(listLossesToAnnounce(), MAXIMUM_LOST_NODES, random).map(toHeartbeat),
        zones: [...zoneSeenAt]
          .filter(([zone]) => zone !== self.availabilityZone)
          .map(([zone, at]) => [zone, now() - at]),
        nodes: [
          ...(isRecent(selfChangedAt) ? [self] : []),
          ...pickSome(changed, MAXIMUM_NODE_RECORDS, random).map(({ node }) => node),
        ],
      };
    },
    applyUpdate: (update) => {
      const [, , senderHeartbeat = 0] = update.heartbeats[0] ?? [];
      if (senderHeartbeat < (known.get(update.from)?.messageHeartbeat ?? 0)) return false;
      for (const node of update.nodes) applyRecord(node);
      for (const [name, incarnation, heartbeat] of update.heartbeats)
        applyHeartbeat(name, incarnation, heartbeat);
      for (const [name, incarnation, lastHeartbeat] of update.lostNodes)
        applyLoss(name, incarnation, lastHeartbeat);
      const sender = known.get(update.from);
      if (!sender) return true;
      const { isReachable, isIsolated } = update;
      Object.assign(sender, { isReachable, isIsolated, messageHeartbeat: senderHeartbeat });
      applyZones(sender.node, update.zones);
      return true;
    },
    sweep: () => {
      for (const [name, entry] of known) {
        if (!entry.isLost && isUnresponsive(entry)) markLost(entry, isLocalZone(entry));
        if (now() - entry.lastSeenAt <= REMOVAL_MILLISECONDS) continue;
        known.delete(name);
        peersByTag.delete(entry.tag);
      }
    },
  };
}
