/**
 * Membership: which nodes live, and facts that nodes tell each other.
 */
import { GOSSIP_ROUND_MILLISECONDS } from '../../../constants/index.js';
import type { Fact, Member, MemberState } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';
import { firstIncarnation, mergeMember } from '../mergeMember/index.js';
import { createDigestCheck } from '../createDigestCheck/index.js';
import { createMemberTable, digestMember } from '../createMemberTable/index.js';
import { createSuspicions } from '../createSuspicions/index.js';
import { createFacts } from '../keepFacts/index.js';
import { createProber } from '../probeMembers/index.js';
import { createMessageSender, type Packet } from '../sendMessages/index.js';
import { createMessageRouter, type MembershipMessage } from '../routeMessage/index.js';
import { createRumors } from '../spreadRumors/index.js';

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
  /** Configuration revision that this node has in force. */
  readonly getRevision: () => number;
  /** Concurrency limits of this node's busy pools. */
  readonly getLimits: () => PoolLimit[];
  /** Called with the limits of a peer's busy pools. */
  readonly onLimits: (limits: readonly PoolLimit[]) => void;
  /** Called for each fact that is news to this node. */
  readonly onFact: (fact: Fact) => void;
  /** Called when a peer has a higher configuration revision. */
  readonly onHigherRevision: (peer: Member) => void;
  readonly merge?: typeof mergeMember | undefined;
}

/** The membership of one node. */
export interface Membership {
  readonly start: () => void;
  readonly receive: (message: MembershipMessage) => void;
  /** Adds members learnt from the platform's registrations. */
  readonly introduce: (members: readonly Member[]) => void;
  /** Makes this node known at addresses from the settings; used while it knows no peer. */
  readonly contact: (addresses: readonly string[]) => void;
  readonly self: () => Member;
  readonly list: () => Member[];
  readonly find: (node: string) => Member | undefined;
  /** Names of the nodes that are alive, this one included. */
  readonly listAlive: () => string[];
  readonly leave: () => void;
  /** Spreads a fact; an urgent one is passed on at once. */
  readonly tell: (fact: Fact, isUrgent?: boolean) => void;
  /** Pings a few peers at once, so that they see this node's revision. */
  readonly announce: () => void;
}

const URGENT_PEERS = 3;
const ROUNDS_BETWEEN_SWEEPS = 30;
const ANNOUNCE_MILLISECONDS = 50;

function isUrgentFact(fact: Fact): boolean {
  return fact.key.startsWith('leaving/');
}

/**
 * Creates the membership of one node.
 *
 * @param options - the context, this node's addresses, and what to call on news
 * @returns the membership
 * @example
 * createMembership({ context, peerAddress, callerAddress, availabilityZone, getRevision, onFact, onHigherRevision }).start();
 */
export function createMembership(options: CreateMembershipOptions): Membership {
  const { context, merge = mergeMember } = options;
  const members = createMemberTable();
  const facts = createFacts();
  const rumors = createRumors();
  let own: Member = {
    node: context.node,
    incarnation: firstIncarnation(context.incarnation),
    state: 'alive',
    peerAddress: options.peerAddress,
    callerAddress: options.callerAddress,
    availabilityZone: options.availabilityZone,
    revision: 0,
  };
  let isAnnouncing = false;
  let round = 0;

  const computeDigest = (): number => (members.digest() ^ digestMember(own) ^ facts.digest()) >>> 0;

  const sender = createMessageSender({
    context,
    getOwn: () => own,
    getRevision: options.getRevision,
    getLimits: options.getLimits,
    computeDigest,
    members,
    facts,
    rumors,
  });
  const { sendPing, sendEverything } = sender;
  const choosePeers = (count: number): Member[] =>
    shuffleItems(
      members.list().filter(({ state }) => state !== 'dead'),
      context.random,
    ).slice(0, count);
  const announce = (): void => {
    for (const peer of choosePeers(URGENT_PEERS)) sendPing(peer, prober.nextSequence());
  };

  /** Passes a change on at once, with all that changes within a moment in one packet. */
  const announceSoon = (): void => {
    if (isAnnouncing) return;
    isAnnouncing = true;
    context.schedule(ANNOUNCE_MILLISECONDS, () => {
      isAnnouncing = false;
      announce();
    });
  };

  const setState = (member: Member, state: MemberState): void => {
    const next = { ...member, state };
    members.put(next);
    rumors.add({ kind: 'member', member: next });
    announceSoon();
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
    if (incoming.incarnation < own.incarnation || incoming.state === own.state) return;
    if (incoming.state === 'alive' && own.state === 'leaving') return;
    own = { ...own, incarnation: incoming.incarnation + 1 };
    rumors.add({ kind: 'member', member: own });
    context.count('suspicions_refuted');
  };
  const takeMember = (incoming: Member): void => {
    if (incoming.node === context.node) {
      refute(incoming);
      return;
    }
    const present = members.find(incoming.node);
    const winner = merge(present, incoming);
    if (winner === present) return;
    members.put(winner);
    rumors.add({ kind: 'member', member: winner });
    if (winner.state === 'suspect') suspicions.await(winner);
    else suspicions.clear(winner.node);
    if (present && winner.state !== present.state) announceSoon();
  };
  const takeFact = (fact: Fact, isUrgent = isUrgentFact(fact)): void => {
    if (!facts.take(fact)) return;
    rumors.add({ kind: 'fact', fact });
    options.onFact(fact);
    if (isUrgent) announce();
  };
  const takePacket = (packet: Packet): void => {
    packet.members.forEach(takeMember);
    packet.facts.forEach((fact) => {
      takeFact(fact);
    });
    options.onLimits(packet.limits);
    const known = members.find(packet.from);
    if (!known) return;
    if (packet.revision !== known.revision) {
      members.put({ ...known, revision: packet.revision });
    }
    if (packet.revision > options.getRevision()) options.onHigherRevision(known);
    if (known.state === 'suspect' || known.state === 'dead') {
      rumors.add({ kind: 'member', member: known });
    }
  };
  const compareDigest = createDigestCheck({
    context,
    computeDigest,
    synchronize: (from) => {
      const peer = members.find(from);
      if (peer) sendEverything(peer.peerAddress, true);
      return peer !== undefined;
    },
  });
  const prober = createProber({
    context,
    listPeers: members.list,
    sendPing,
    sendIndirectPing: sender.sendIndirectPing,
    onSilence: (member) => {
      const present = members.find(member.node);
      if (!present || present.state === 'dead' || present.state === 'suspect') return;
      setState(present, 'suspect');
      suspicions.await({ ...present, state: 'suspect' });
    },
  });

  const takeMessage = createMessageRouter({
    context,
    members,
    prober,
    sender,
    takePacket,
    computeDigest,
    compareDigest,
  });
  const runRound = (): void => {
    round += 1;
    if (round % ROUNDS_BETWEEN_SWEEPS === 0) facts.forgetOld(context.now());
    prober.runRound();
    context.schedule(GOSSIP_ROUND_MILLISECONDS, runRound);
  };

  return {
    start: () => {
      context.schedule(context.random() * GOSSIP_ROUND_MILLISECONDS, runRound);
    },
    receive: takeMessage,
    introduce: (introduced) => {
      const isFirst = members.list().length === 0;
      introduced.forEach(takeMember);
      const [peer] = choosePeers(1);
      if (!isFirst || !peer) return;
      rumors.add({ kind: 'member', member: own });
      sendEverything(peer.peerAddress, true);
    },
    contact: (addresses) => {
      for (const address of addresses) {
        if (address !== options.peerAddress) sendEverything(address, true);
      }
    },
    self: () => ({ ...own, revision: options.getRevision() }),
    list: () => [{ ...own, revision: options.getRevision() }, ...members.list()],
    find: (node) => (node === context.node ? own : members.find(node)),
    listAlive: () => [
      ...(own.state === 'alive' ? [own.node] : []),
      ...members
        .list()
        .filter(({ state }) => state === 'alive')
        .map(({ node }) => node),
    ],
    leave: () => {
      own = { ...own, state: 'leaving', incarnation: own.incarnation + 1 };
      rumors.add({ kind: 'member', member: own });
      announce();
    },
    tell: takeFact,
    announce,
  };
}
