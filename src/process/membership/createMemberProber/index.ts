/**
 * Failure detection: direct and indirect probes of one member per round.
 */
import { GOSSIP_ROUND_MILLISECONDS } from '../../../constants/index.js';
import type { Member } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';

/** Options of {@link createMemberProber}. */
export interface CreateMemberProberOptions {
  readonly context: NodeContext;
  /** Members other than this node, including dead ones. */
  readonly listPeers: () => readonly Member[];
  readonly sendPing: (member: Member, sequence: number) => void;
  readonly sendIndirectPing: (helper: Member, target: Member, sequence: number) => void;
  readonly onUnresponsive: (member: Member) => void;
}

/** Member probes of one node. */
export interface MemberProber {
  readonly runRound: () => void;
  readonly receiveAck: (sequence: number) => void;
  readonly nextSequence: () => number;
}

const ACK_TIMEOUT_MILLISECONDS = 300;
const INDIRECT_PING_HELPERS = 3;
const ROUNDS_BETWEEN_DEAD_PROBES = 10;

/**
 * Creates the prober with which a node detects failed members.
 *
 * Each round probes the next member of a shuffled list. Without an ack within 300 ms, three other
 * members are requested to ping it too; a member without an ack by the end of the round is reported
 * as unresponsive. Every tenth round probes a dead member, so that both sides of a healed partition
 * find each other.
 *
 * @param options - the context, the peers, and the functions that send pings
 * @returns the prober
 * @example
 * createMemberProber({ context, listPeers, sendPing, sendIndirectPing, onUnresponsive }).runRound();
 */
export function createMemberProber(options: CreateMemberProberOptions): MemberProber {
  const { context } = options;
  const pendingAcks = new Set<number>();
  let probeQueue: string[] = [];
  let sequence = 0;
  let round = 0;

  const shuffle = (names: string[]): string[] => {
    for (let index = names.length - 1; index > 0; index -= 1) {
      const other = Math.floor(context.random() * (index + 1));
      [names[index], names[other]] = [names[other] ?? '', names[index] ?? ''];
    }
    return names;
  };
  const chooseTarget = (): Member | undefined => {
    const peers = new Map(options.listPeers().map((peer) => [peer.node, peer]));
    const dead = [...peers.values()].filter((peer) => peer.state === 'dead');
    if (round % ROUNDS_BETWEEN_DEAD_PROBES === 0 && dead.length > 0) {
      return dead[Math.floor(context.random() * dead.length)];
    }
    if (probeQueue.length === 0) {
      probeQueue = shuffle([...peers.keys()].filter((name) => peers.get(name)?.state !== 'dead'));
    }
    for (let name = probeQueue.pop(); name !== undefined; name = probeQueue.pop()) {
      const peer = peers.get(name);
      if (peer && peer.state !== 'dead') return peer;
    }
    return undefined;
  };
  const requestIndirectPings = (target: Member, awaitedSequence: number): void => {
    const liveMembers = options
      .listPeers()
      .filter((peer) => peer.node !== target.node && peer.state !== 'dead');
    const helpers = shuffleItems(liveMembers, context.random).slice(0, INDIRECT_PING_HELPERS);
    for (const peer of helpers) options.sendIndirectPing(peer, target, awaitedSequence);
  };
  const probe = (target: Member): void => {
    sequence += 1;
    const awaitedSequence = sequence;
    pendingAcks.add(awaitedSequence);
    options.sendPing(target, awaitedSequence);
    context.schedule(ACK_TIMEOUT_MILLISECONDS, () => {
      if (pendingAcks.has(awaitedSequence)) requestIndirectPings(target, awaitedSequence);
    });
    context.schedule(GOSSIP_ROUND_MILLISECONDS * 0.95, () => {
      if (pendingAcks.delete(awaitedSequence)) options.onUnresponsive(target);
    });
  };

  return {
    runRound: () => {
      round += 1;
      const target = chooseTarget();
      if (target) probe(target);
    },
    receiveAck: (acknowledged) => {
      pendingAcks.delete(acknowledged);
    },
    nextSequence: () => {
      sequence += 1;
      return sequence;
    },
  };
}
