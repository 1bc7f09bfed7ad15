/**
 * Choice of the peers that receive a new configuration before it is acknowledged.
 */
import type { Member } from '../../../types/peer/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';

/** Options of {@link chooseOfferPeers}. */
export interface ChooseOfferPeersOptions {
  readonly members: readonly Member[];
  readonly self: Pick<Member, 'node' | 'availabilityZone'>;
  /** Returns random numbers from 0 to 1. */
  readonly random: () => number;
}

const OFFERED_PEERS = 2;

/**
 * Chooses live peers at random, those of other availability zones first.
 *
 * @param options - members, this node, and a source of random numbers
 * @returns at most two peers
 * @example
 * chooseOfferPeers({ members, self, random });
 */
export function chooseOfferPeers({ members, self, random }: ChooseOfferPeersOptions): Member[] {
  const livePeers = members.filter(({ node, state }) => node !== self.node && state === 'alive');
  const peers = shuffleItems(livePeers, random);
  const isInRemoteZone = (member: Member): boolean =>
    member.availabilityZone !== self.availabilityZone;
  return [...peers.filter(isInRemoteZone), ...peers.filter((peer) => !isInRemoteZone(peer))].slice(
    0,
    OFFERED_PEERS,
  );
}
