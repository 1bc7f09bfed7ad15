/**
 * Messages of peers, by kind.
 */
import type { NodeEvent } from '../../../types/node/index.js';
import type { PeerMessage } from '../../../types/peer/index.js';
import type { ConfigurationStore } from '../../configuration/createConfiguration/index.js';
import type { Membership } from '../../membership/createMembership/index.js';
import type { PeerQuestions } from '../askPeers/index.js';

/** Options of {@link createPeerRouter}. */
export interface CreatePeerRouterOptions {
  readonly membership: Pick<Membership, 'receive'>;
  readonly configuration: Pick<ConfigurationStore, 'receive'>;
  readonly questions: Pick<PeerQuestions, 'receive'>;
}

/**
 * Creates the router of peers' messages.
 *
 * @param options - the parts that take messages
 * @returns a function that takes each message
 * @example
 * createPeerRouter({ membership, configuration, questions })(event);
 */
export function createPeerRouter(
  options: CreatePeerRouterOptions,
): (event: Extract<NodeEvent, { kind: 'peerMessage' }>) => void {
  const { membership, configuration, questions } = options;
  const handlers: Record<PeerMessage['kind'], (message: PeerMessage) => void> = {
    ping: membership.receive as (message: PeerMessage) => void,
    ack: membership.receive as (message: PeerMessage) => void,
    indirectPing: membership.receive as (message: PeerMessage) => void,
    synchronize: membership.receive as (message: PeerMessage) => void,
    configurationRequest: configuration.receive as (message: PeerMessage) => void,
    configurationOffer: configuration.receive as (message: PeerMessage) => void,
    configurationTaken: configuration.receive as (message: PeerMessage) => void,
    bookingQuery: questions.receive as (message: PeerMessage) => void,
    bookingAnswer: questions.receive as (message: PeerMessage) => void,
    ticketCall: questions.receive as (message: PeerMessage) => void,
    ticketReply: questions.receive as (message: PeerMessage) => void,
  };
  return ({ message }) => {
    handlers[message.kind](message);
  };
}
