/**
 * Messages of membership, by kind.
 */
import type { PeerMessage } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { MemberTable } from '../createMemberTable/index.js';
import type { Prober } from '../probeMembers/index.js';
import type { MessageSender, Packet } from '../sendMessages/index.js';

/** Messages that membership takes. */
export type MembershipMessage = Extract<
  PeerMessage,
  { kind: 'ping' | 'ack' | 'indirectPing' | 'synchronize' }
>;

/** Options of {@link createMessageRouter}. */
export interface CreateMessageRouterOptions {
  readonly context: NodeContext;
  readonly members: MemberTable;
  readonly prober: Pick<Prober, 'nextSequence' | 'receiveAck'>;
  readonly sender: MessageSender;
  readonly takePacket: (packet: Packet) => void;
  readonly computeDigest: () => number;
  readonly compareDigest: (from: string, digest: number) => void;
}

const RELAY_MILLISECONDS = 2_000;

/**
 * Creates the router of membership's messages.
 *
 * @param options - the members, and what takes and sends packets
 * @returns a function that takes each message
 * @example
 * createMessageRouter(options)(message);
 */
export function createMessageRouter(
  options: CreateMessageRouterOptions,
): (message: MembershipMessage) => void {
  const { context, members, prober, takePacket, computeDigest, compareDigest } = options;
  const { createPacket, send, sendPing, sendEverything } = options.sender;
  const relays = new Map<number, { readonly address: string; readonly sequence: number }>();
  const handlers: {
    [Kind in MembershipMessage['kind']]: (
      message: Extract<MembershipMessage, { kind: Kind }>,
    ) => void;
  } = {
    ping: (message) => {
      takePacket(message);
      const peer = members.find(message.from);
      if (!peer) return;
      const { sequence } = message;
      const digest = computeDigest();
      send(peer.peerAddress, { kind: 'ack', sequence, digest, ...createPacket() });
      compareDigest(message.from, message.digest);
    },
    ack: (message) => {
      takePacket(message);
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
      takePacket(message);
      const target = members.find(message.target);
      const asker = members.find(message.from);
      if (!target || !asker) return;
      const sequence = prober.nextSequence();
      relays.set(sequence, { address: asker.peerAddress, sequence: message.sequence });
      context.schedule(RELAY_MILLISECONDS, () => {
        relays.delete(sequence);
      });
      sendPing(target, sequence);
    },
    synchronize: (message) => {
      takePacket(message);
      const peer = members.find(message.from);
      if (message.answer && peer) sendEverything(peer.peerAddress, false);
    },
  };
  return (message) => {
    const handler = handlers[message.kind] as (received: MembershipMessage) => void;
    handler(message);
  };
}
