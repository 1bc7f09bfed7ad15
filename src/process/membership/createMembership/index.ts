/**
 * Gossip membership: the states of all nodes, and the facts that nodes publish.
 */
import { GOSSIP_ROUND_MILLISECONDS } from '../../../constants/index.js';
import type { Fact, Member, MemberState } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import { computeFirstIncarnation, mergeMember } from '../mergeMember/index.js';
import { createDigestCheck } from '../createDigestCheck/index.js';
import { createMemberTable, digestMember } from '../createMemberTable/index.js';
import { createSuspicions } from '../createSuspicions/index.js';
import { createFactStore } from '../createFactStore/index.js';
import { createMemberProber } from '../createMemberProber/index.js';
import { createMessageSender, type Packet } from '../createMessageSender/index.js';
import { createMessageRouter, type MembershipMessage } from '../createMessageRouter/index.js';
import { createUpdateQueue } from '../createUpdateQueue/index.js';

/** Concurrency limit of one pool, by hash of the pool's key. */
export interface PoolLimit {
  readonly pool: number;
  readonly limit: number;
}

/** Options of {@link createMembership}. */
export interface CreateMembershipOptions {
  readonly context: NodeContext;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly availabilityZone: string;
  /** Revision of the active configuration of this node. */
  readonly getRevision: () => number;
  /** Concurrency limits of this node's busy pools. */
  readonly getLimits: () => PoolLimit[];
  /** Called with the limits of a peer's busy pools. */
  readonly onLimits: (limits: readonly PoolLimit[]) => void;
  /** Called for each fact that is newer than the stored one. */
  readonly onFact: (fact: Fact) => void;
  /** Called when a peer has a higher configuration revision. */
  readonly onHigherRevision: (peer: Member) => void;
  readonly merge?: typeof mergeMember | undefined;
}

/** The membership of one node. */
export interface Membership {
  readonly start: () => void;
  readonly receive: (message: MembershipMessage) => void;
  /** Adds members read from the platform's registrations. */
  readonly addMembers: (members: readonly Member[]) => void;
  /** Sends the full state to the seed addresses of the settings; used while no peer is known. */
  readonly contactSeeds: (addresses: readonly string[]) => void;
  readonly self: () => Member;
  readonly list: () => Member[];
  readonly find: (node: string) => Member | undefined;
  /** Names of the live nodes, including this node unless it is leaving. */
  readonly listLiveNodes: () => string[];
  readonly leave: () => void;
  /** Publishes a fact by gossip; an urgent fact is sent immediately. */
  readonly publishFact: (fact: Fact, isUrgent?: boolean) => void;
  /** Pings a few peers immediately, so that they receive this node's revision. */
  readonly announce: () => void;
}

const ANNOUNCEMENT_PEERS = 3;
const ROUNDS_BETWEEN_CLEANUPS = 30;
const ANNOUNCE_DELAY_MILLISECONDS = 50;

function isUrgentFact(fact: Fact): boolean {
  return fact.key.startsWith('leaving/');
}

/**
 * Creates the membership of one node.
 *
 * @param options - the context, this node's addresses, and the callbacks for changes
 * @returns the membership
 * @example
 * createMembership({ context, peerAddress, callerAddress, availabilityZone, getRevision, getLimits, onLimits, onFact, onHigherRevision }).start();
 */
export function createMembership(options: CreateMembershipOptions): Membership {
  const { context, merge = mergeMember } = options;
  const members = createMemberTable();
  const facts = createFactStore();
  const updates = createUpdateQueue();
  let localMember: Member = {
    node: context.node,
    incarnation: computeFirstIncarnation(context.incarnation),
    state: 'alive',
    peerAddress: options.peerAddress,
    callerAddress: options.callerAddress,
    availabilityZone: options.availabilityZone,
    revision: 0,
  };
  let isAnnouncementScheduled = false;
  let round = 0;

  const computeDigest = (): number =>
    (members.digest() ^ digestMember(localMember) ^ facts.digest()) >>> 0;

  const sender = createMessageSender({
    context,
    getLocalMember: () => localMember,
    getRevision: options.getRevision,
    getLimits: options.getLimits,
    computeDigest,
    members,
    facts,
    updates,
  });
  const { sendPing, sendFullState } = sender;
  const choosePeers = (count: number): Member[] =>
    shuffleItems(
      members.list().filter(({ state }) => state !== 'dead'),
      context.random,
    ).slice(0, count);
  const announce = (): void => {
    for (const peer of choosePeers(ANNOUNCEMENT_PEERS)) sendPing(peer, prober.nextSequence());
  };

  /** Schedules one announcement for all changes within the delay, so that they share a packet. */
  const scheduleAnnouncement = (): void => {
    if (isAnnouncementScheduled) return;
    isAnnouncementScheduled = true;
    context.schedule(ANNOUNCE_DELAY_MILLISECONDS, () => {
      isAnnouncementScheduled = false;
      announce();
    });
  };

  const setState = (member: Member, state: MemberState): void => {
    const next = { ...member, state };
    members.put(next);
    updates.add({ kind: 'member', member: next });
    scheduleAnnouncement();
    context.log('warn', 'member-state', { node: member.node, state });
  };
  const suspicions = createSuspicions({
    context,
    members,
    onDead: (member) => {
      setState(member, 'dead');
    },
  });
  const refute = (incoming: Member): void => {
    if (incoming.incarnation < localMember.incarnation || incoming.state === localMember.state)
      return;
    if (incoming.state === 'alive' && localMember.state === 'leaving') return;
    localMember = { ...localMember, incarnation: incoming.incarnation + 1 };
    updates.add({ kind: 'member', member: localMember });
    context.count('suspicions_refuted');
  };
  const applyMember = (incoming: Member): void => {
    if (incoming.node === context.node) {
      refute(incoming);
      return;
    }
    const present = members.find(incoming.node);
    const merged = merge(present, incoming);
    if (merged === present) return;
    members.put(merged);
    updates.add({ kind: 'member', member: merged });
    if (merged.state === 'suspect') suspicions.start(merged);
    else suspicions.clear(merged.node);
    if (present && merged.state !== present.state) scheduleAnnouncement();
  };
  const applyFact = (fact: Fact, isUrgent = isUrgentFact(fact)): void => {
    if (!facts.put(fact)) return;
    updates.add({ kind: 'fact', fact });
    options.onFact(fact);
    if (isUrgent) announce();
  };
  const applyPacket = (packet: Packet): void => {
    packet.members.forEach(applyMember);
    packet.facts.forEach((fact) => {
      applyFact(fact);
    });
    options.onLimits(packet.limits);
    const known = members.find(packet.from);
    if (!known) return;
    if (packet.revision !== known.revision) {
      members.put({ ...known, revision: packet.revision });
    }
    if (packet.revision > options.getRevision()) options.onHigherRevision(known);
    if (known.state === 'suspect' || known.state === 'dead') {
      updates.add({ kind: 'member', member: known });
    }
  };
  const compareDigest = createDigestCheck({
    context,
    computeDigest,
    synchronize: (from) => {
      const peer = members.find(from);
      if (peer) sendFullState(peer.peerAddress, true);
      return peer !== undefined;
    },
  });
  const prober = createMemberProber({
    context,
    listPeers: members.list,
    sendPing,
    sendIndirectPing: sender.sendIndirectPing,
    onUnresponsive: (member) => {
      const present = members.find(member.node);
      if (!present || present.state === 'dead' || present.state === 'suspect') return;
      setState(present, 'suspect');
      suspicions.start({ ...present, state: 'suspect' });
    },
  });

  const routeMessage = createMessageRouter({
    context,
    members,
    prober,
    sender,
    applyPacket,
    computeDigest,
    compareDigest,
  });
  const runRound = (): void => {
    round += 1;
    if (round % ROUNDS_BETWEEN_CLEANUPS === 0) facts.removeExpired(context.now());
    prober.runRound();
    context.schedule(GOSSIP_ROUND_MILLISECONDS, runRound);
  };

  return {
    start: () => {
      context.schedule(context.random() * GOSSIP_ROUND_MILLISECONDS, runRound);
    },
    receive: routeMessage,
    addMembers: (discovered) => {
      const isFirst = members.list().length === 0;
      discovered.forEach(applyMember);
      const [peer] = choosePeers(1);
      if (!isFirst || !peer) return;
      updates.add({ kind: 'member', member: localMember });
      sendFullState(peer.peerAddress, true);
    },
    contactSeeds: (addresses) => {
      for (const address of addresses) {
        if (address !== options.peerAddress) sendFullState(address, true);
      }
    },
    self: () => ({ ...localMember, revision: options.getRevision() }),
    list: () => [{ ...localMember, revision: options.getRevision() }, ...members.list()],
    find: (node) => (node === context.node ? localMember : members.find(node)),
    listLiveNodes: () => [
      ...(localMember.state === 'alive' ? [localMember.node] : []),
      ...members
        .list()
        .filter(({ state }) => state === 'alive')
        .map(({ node }) => node),
    ],
    leave: () => {
      localMember = { ...localMember, state: 'leaving', incarnation: localMember.incarnation + 1 };
      updates.add({ kind: 'member', member: localMember });
      announce();
    },
    publishFact: applyFact,
    announce,
  };
}
