/**
 * Other nodes that a request may be handed over to.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { NeighbourPort } from '../../../types/relay/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { LinkMonitor } from '../createLinkMonitor/index.js';

/** Options of {@link createNeighbours}. */
export interface CreateNeighboursOptions {
  readonly availabilityZone: string;
  readonly endpoints: Pick<EndpointTable, 'list'>;
  readonly links: Pick<LinkMonitor, 'isIsolated' | 'isSuspect'>;
  readonly port: NeighbourPort;
  /** Lists the other live nodes that are not leaving and not known to be cut off from endpoints. */
  readonly listConnected: () => readonly NodeRecord[];
  readonly now: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Other nodes of the site, as the relay uses them. */
export interface Neighbours {
  readonly send: NeighbourPort['send'];
  /** Picks a node that is not excluded by name, of the local availability zone if possible. */
  readonly pick: (excluded: ReadonlySet<string>) => NodeRecord | undefined;
  /**
   * Returns whether a request should be handed over before this node sends it itself; `hasFailed` tells whether it
   * could not connect to an endpoint.
   */
  readonly arePreferred: (hasFailed: boolean) => boolean;
  /** Returns whether this node could not reach an endpoint of a service lately, which others may reach. */
  readonly mayReachMore: (service: string) => boolean;
}

/** Time for which a loss that this node found is a reason to hand requests over, in milliseconds. */
const OWN_LOSS_MILLISECONDS = 3_000;

/**
 * Creates the other nodes.
 *
 * @param options - the zone of this node, its endpoints and links, and the other nodes
 * @returns the other nodes
 * @example
 * createNeighbours(options).pick(new Set())?.peerAddress;
 */
export function createNeighbours(options: CreateNeighboursOptions): Neighbours {
  const { availabilityZone, endpoints, links, port, listConnected, now, random } = options;
  const isOutOfReach = ({ lossFoundAt, lostUntil, avoidedUntil, failures }: Endpoint): boolean => {
    const isLost = lostUntil > now() && now() - (lossFoundAt ?? 0) < OWN_LOSS_MILLISECONDS;
    return isLost || (avoidedUntil > now() && failures > 0);
  };
  return {
    send: port.send,
    pick: (excluded) => {
      const connected = listConnected().filter(({ name }) => !excluded.has(name));
      const local = connected.filter((node) => node.availabilityZone === availabilityZone);
      const candidates = local.length > 0 ? local : connected;
      return candidates[Math.floor(random() * candidates.length)];
    },
    arePreferred: (hasFailed) => links.isIsolated() || (hasFailed && links.isSuspect()),
    mayReachMore: (service) =>
      endpoints
        .list()
        .some((endpoint) => endpoint.record.service === service && isOutOfReach(endpoint)),
  };
}
