/**
 * Routing of peer messages by kind.
 */
import type { NodeEvent } from '../../../types/node/index.js';
import type { PeerMessage } from '../../../types/peer/index.js';
import type { ConfigurationStore } from '../../configuration/createConfigurationStore/index.js';
import type { Membership } from '../../membership/createMembership/index.js';
import type { PeerRequests } from '../createPeerRequests/index.js';

/** Options of {@link createPeerRouter}. */
export interface CreatePeerRouterOptions {
  readonly membership: Pick<Membership, 'receive'>;
  readonly configuration: Pick<ConfigurationStore, 'receive'>;
  readonly peerRequests: Pick<PeerRequests, 'receive'>;
}

/**
 * Creates the router of peer messages.
 *
 * @param options - the components that handle messages
 * @returns a function that handles each message
 * @example
 * createPeerRouter({ membership, configuration, peerRequests })(event);
 */
export function createPeerRouter(
  options: CreatePeerRouterOptions,
): (event: Extract<NodeEvent, { kind: 'peerMessage' }>) => void {
  const { membership, configuration, peerRequests } = options;
  const handlers: Record<PeerMessage['kind'], (message: PeerMessage) => void> = {
    ping: membership.receive as (message: PeerMessage) => void,
    ack: membership.receive as (message: PeerMessage) => void,
    indirectPing: membership.receive as (message: PeerMessage) => void,
    synchronize: membership.receive as (message: PeerMessage) => void,
    configurationRequest: configuration.receive as (message: PeerMessage) => void,
    configurationOffer: configuration.receive as (message: PeerMessage) => void,
    configurationTaken: configuration.receive as (message: PeerMessage) => void,
    bookingQuery: peerRequests.receive as (message: PeerMessage) => void,
    bookingAnswer: peerRequests.receive as (message: PeerMessage) => void,
    ticketCall: peerRequests.receive as (message: PeerMessage) => void,
    ticketReply: peerRequests.receive as (message: PeerMessage) => void,
  };
  return ({ message }) => {
    handlers[message.kind](message);
  };
}
