/**
 * Routing of membership messages by kind.
 */
import type { PeerMessage } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { MemberTable } from '../createMemberTable/index.js';
import type { MemberProber } from '../createMemberProber/index.js';
import type { MessageSender, Packet } from '../createMessageSender/index.js';

/** Messages that the membership handles. */
export type MembershipMessage = Extract<
  PeerMessage,
  { kind: 'ping' | 'ack' | 'indirectPing' | 'synchronize' }
>;

/** Options of {@link createMessageRouter}. */
export interface CreateMessageRouterOptions {
  readonly context: NodeContext;
  readonly members: MemberTable;
  readonly prober: Pick<MemberProber, 'nextSequence' | 'receiveAck'>;
  readonly sender: MessageSender;
  readonly applyPacket: (packet: Packet) => void;
  readonly computeDigest: () => number;
  readonly compareDigest: (from: string, digest: number) => void;
}

const RELAY_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Creates the router of membership messages.
 *
 * @param options - the members, and the components that apply and send packets
 * @returns a function that handles each message
 * @example
 * createMessageRouter(options)(message);
 */
export function createMessageRouter(
  options: CreateMessageRouterOptions,
): (message: MembershipMessage) => void {
  const { context, members, prober, applyPacket, computeDigest, compareDigest } = options;
  const { createPacket, send, sendPing, sendFullState } = options.sender;
  const relays = new Map<number, { readonly address: string; readonly sequence: number }>();
  const handlers: {
    [Kind in MembershipMessage['kind']]: (
      message: Extract<MembershipMessage, { kind: Kind }>,
    ) => void;
  } = {
    ping: (message) => {
      applyPacket(message);
      const peer = members.find(message.from);
      if (!peer) return;
      const { sequence } = message;
      const digest = computeDigest();
      send(peer.peerAddress, { kind: 'ack', sequence, digest, ...createPacket() });
      compareDigest(message.from, message.digest);
    },
    ack: (message) => {
      applyPacket(message);
      const relay = relays.get(message.sequence);
      if (relay) {
        relays.delete(message.sequence);
        send(relay.address, { ...message, sequence: relay.sequence });
        return;
      }
      prober.receiveAck(message.sequence);
      compareDigest(message.from, message.digest);
    },
    indirectPing: (message) => {
      applyPacket(message);
      const target = members.find(message.target);
      const requester = members.find(message.from);
      if (!target || !requester) return;
      const sequence = prober.nextSequence();
      relays.set(sequence, { address: requester.peerAddress, sequence: message.sequence });
      context.schedule(RELAY_TIMEOUT_MILLISECONDS, () => {
        relays.delete(sequence);
      });
      sendPing(target, sequence);
    },
    synchronize: (message) => {
      applyPacket(message);
      const peer = members.find(message.from);
      if (message.answer && peer) sendFullState(peer.peerAddress, false);
    },
  };
  return (message) => {
    const handler = handlers[message.kind] as (received: MembershipMessage) => void;
    handler(message);
  };
}
