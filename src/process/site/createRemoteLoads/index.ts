/**
 * Load that the other nodes put on endpoints, as they report it.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import type { PeerUpdate } from '../peerMessages/index.js';
import { sumLoads, type NodeLoad } from '../sumLoads/index.js';

/** Options of {@link createRemoteLoads}. */
export interface CreateRemoteLoadsOptions {
  readonly self: Pick<NodeRecord, 'name' | 'availabilityZone'>;
  readonly endpoints: Pick<EndpointTable, 'list'>;
  /** Lists the live nodes, this one included. */
  readonly listAlive: () => readonly NodeRecord[];
  readonly now: () => number;
}

/** Load of the other nodes. */
export interface RemoteLoads {
  /** Records the load report of a node. */
  readonly record: (node: string, loads: NonNullable<PeerUpdate['loads']>) => void;
  /** Applies the known reports to the endpoints. */
  readonly apply: () => void;
  /** Returns the milliseconds since the last load report of another node. */
  readonly readAge: () => number;
  /**
   * Returns the number of live other nodes of the local availability zone; 0 once any of them has
   * reported its load.
   */
  readonly countNodesWithoutLoad: () => number;
}

/** How long a node's load report stays valid, in milliseconds. */
const LOAD_EXPIRY_MILLISECONDS = 2_500;

/**
 * Creates the record of the load of the other nodes.
 *
 * @param options - this node, the endpoints and the other nodes
 * @returns the record
 * @example
 * createRemoteLoads(options).record('node-2', [['i-1', 2, 900]]);
 */
export function createRemoteLoads(options: CreateRemoteLoadsOptions): RemoteLoads {
  const { self, endpoints, listAlive, now } = options;
  const loadsByNode = new Map<string, { at: number; loads: NodeLoad['loads'] }>();
  let receivedAt = now();
  let nodesWithoutLoad = 0;

  /** Lists the valid reports of live nodes, and forgets the others. */
  const listReported = (zones: ReadonlyMap<string, string>): NodeLoad[] => {
    const reported: NodeLoad[] = [];
    for (const [name, { at, loads }] of loadsByNode) {
      const availabilityZone = zones.get(name);
      if (availabilityZone === undefined || now() - at > LOAD_EXPIRY_MILLISECONDS)
        loadsByNode.delete(name);
      else reported.push({ availabilityZone, loads });
    }
    return reported;
  };

  return {
    record: (node, loads) => {
      receivedAt = now();
      loadsByNode.set(node, { at: receivedAt, loads });
    },
    apply: () => {
      const others = listAlive().filter(({ name }) => name !== self.name);
      const zones = new Map(others.map(({ name, availabilityZone }) => [name, availabilityZone]));
      const reported = listReported(zones);
      const nodesByZone = new Map<string, number>();
      for (const zone of zones.values()) nodesByZone.set(zone, (nodesByZone.get(zone) ?? 0) + 1);
      const countNodes = (zone: string): number => nodesByZone.get(zone) ?? 0;
      const hasZoneLoad = reported.some(
        ({ availabilityZone }) => availabilityZone === self.availabilityZone,
      );
      nodesWithoutLoad = hasZoneLoad ? 0 : countNodes(self.availabilityZone);
      const sums = sumLoads(reported, countNodes);
      for (const endpoint of endpoints.list()) {
        const sum = sums.get(endpoint.record.id);
        endpoint.remoteRequests = sum?.requests ?? 0;
        endpoint.remoteTokenLayers = sum?.tokenLayers ?? 0;
      }
    },
    readAge: () => now() - receivedAt,
    countNodesWithoutLoad: () => nodesWithoutLoad,
  };
}
