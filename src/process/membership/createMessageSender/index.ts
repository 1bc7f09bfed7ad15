/**
 * Sending of membership messages.
 */
import type { Member, PeerMessage } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { MemberTable } from '../createMemberTable/index.js';
import type { createFactStore } from '../createFactStore/index.js';
import type { createUpdateQueue } from '../createUpdateQueue/index.js';

/** Gossip payload of each message. */
export type Packet = Pick<
  Extract<PeerMessage, { kind: 'ping' }>,
  'from' | 'revision' | 'members' | 'facts' | 'limits'
>;

/** Options of {@link createMessageSender}. */
export interface CreateMessageSenderOptions {
  readonly context: NodeContext;
  readonly getLocalMember: () => Member;
  readonly getRevision: () => number;
  readonly getLimits: () => Packet['limits'];
  readonly computeDigest: () => number;
  readonly members: MemberTable;
  readonly facts: ReturnType<typeof createFactStore>;
  readonly updates: ReturnType<typeof createUpdateQueue>;
}

/** Sender of membership messages. */
export interface MessageSender {
  /** Creates the gossip payload of a message; each included update counts as sent once. */
  readonly createPacket: () => Packet;
  readonly send: (address: string, message: PeerMessage) => void;
  readonly sendPing: (peer: Member, sequence: number) => void;
  /** Requests that a helper pings a target that does not respond to this node. */
  readonly sendIndirectPing: (helper: Member, target: Member, sequence: number) => void;
  /** Sends all members and retained facts; `answer` requests the peer's state in return. */
  readonly sendFullState: (address: string, answer: boolean) => void;
}

/**
 * Creates the sender of a node's membership messages.
 *
 * @param options - the context and the membership state to send
 * @returns the sender
 * @example
 * createMessageSender(options).sendPing(peer, sequence);
 */
export function createMessageSender(options: CreateMessageSenderOptions): MessageSender {
  const { context, getLocalMember, getRevision, getLimits, computeDigest, members, facts } =
    options;
  const createPacket = (): Packet => ({
    from: context.node,
    revision: getRevision(),
    limits: getLimits(),
    ...options.updates.takeBatch(1 + members.countAlive()),
  });
  const send = (address: string, message: PeerMessage): void => {
    context.emit({ kind: 'sendPeer', address, message });
  };
  return {
    createPacket,
    send,
    sendPing: (peer, sequence) => {
      const digest = computeDigest();
      const packet = createPacket();
      const isSuspected = peer.state === 'suspect' || peer.state === 'dead';
      const memberRecords = isSuspected ? [...packet.members, peer] : packet.members;
      send(peer.peerAddress, { kind: 'ping', sequence, digest, ...packet, members: memberRecords });
    },
    sendIndirectPing: (helper, target, sequence) => {
      send(helper.peerAddress, {
        kind: 'indirectPing',
        sequence,
        target: target.node,
        ...createPacket(),
      });
    },
    sendFullState: (address, answer) => {
      send(address, {
        kind: 'synchronize',
        answer,
        from: context.node,
        revision: getRevision(),
        limits: [],
        members: [getLocalMember(), ...members.list()],
        facts: facts.listRetained(),
      });
    },
  };
}
