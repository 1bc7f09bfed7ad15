/**
 * Addresses of the nodes that callers should use.
 */
import { rankRendezvous } from '../../process/hashRendezvous/index.js';
import type { Member } from '../../types/peer/index.js';

/** One node that a caller may use. */
export interface CallerAddress {
  readonly address: string;
  readonly availabilityZone: string;
  readonly weight: number;
}

/** Response to a caller that requests addresses. */
export interface AddressList {
  readonly version: number;
  readonly expiresInSeconds: number;
  readonly addresses: readonly CallerAddress[];
}

/** Options of {@link listAddresses}. */
export interface ListAddressesOptions {
  readonly account: string;
  readonly homeNodes: number;
  readonly members: readonly Member[];
  /** Availability zone of the caller, as far as it is known. */
  readonly availabilityZone: string;
  readonly revision: number;
  readonly expiresInSeconds: number;
}

const LOCAL_ZONE_WEIGHT = 100;
const REMOTE_ZONE_WEIGHT = 50;

/**
 * Lists the nodes that a client account should use.
 *
 * Rendezvous hashing gives an account the same few home nodes as long as they are alive. Home nodes in
 * the caller's availability zone are listed first. Nodes that are leaving or suspected are left out.
 *
 * @param options - the account, the members as this node sees them, and the expiry in seconds
 * @returns the addresses
 * @example
 * listAddresses({ account: 'kiosk', homeNodes: 3, members, availabilityZone: 'mission', revision: 4, expiresInSeconds: 30 });
 */
export function listAddresses(options: ListAddressesOptions): AddressList {
  const { account, homeNodes, availabilityZone, revision, expiresInSeconds } = options;
  const alive = new Map(
    options.members
      .filter((member) => member.state === 'alive')
      .map((member) => [member.node, member]),
  );
  const homes = rankRendezvous(account, [...alive.keys()]).slice(0, Math.max(1, homeNodes));
  const isInLocalZone = (node: string): boolean =>
    alive.get(node)?.availabilityZone === availabilityZone;
  const ordered = [...homes.filter(isInLocalZone), ...homes.filter((node) => !isInLocalZone(node))];
  const addresses = ordered.map((node) => ({
    address: alive.get(node)?.callerAddress ?? '',
    availabilityZone: alive.get(node)?.availabilityZone ?? '',
    weight: isInLocalZone(node) ? LOCAL_ZONE_WEIGHT : REMOTE_ZONE_WEIGHT,
  }));
  return { version: revision, expiresInSeconds, addresses };
}
