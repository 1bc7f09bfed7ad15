/**
 * Layers that endpoints loaded, as other nodes report them, and their relay to further nodes.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { LayerUpdate } from '../peerMessages/index.js';

/** Options of {@link createLayerRelay}. */
export interface CreateLayerRelayOptions {
  readonly endpoints: Pick<EndpointTable, 'find'>;
  readonly now: () => number;
}

/** Relay of layer updates. */
export interface LayerRelay {
  /** Applies updates of another node to the endpoints. */
  readonly apply: (updates: readonly LayerUpdate[]) => void;
  /** Lists the updates that were new to this node recently. */
  readonly list: () => LayerUpdate[];
}

/** How long a node relays layer updates that it received, in milliseconds. */
const RELAY_MILLISECONDS = 1_500;

/**
 * Creates the relay of layer updates.
 *
 * @param options - the endpoints and the clock
 * @returns the relay
 * @example
 * createLayerRelay({ endpoints, now }).apply([['i-1', 1_000, 2, 0, 8]]);
 */
export function createLayerRelay({ endpoints, now }: CreateLayerRelayOptions): LayerRelay {
  const relayed = new Map<string, { at: number; update: LayerUpdate }>();
  const applyUpdate = (update: LayerUpdate): void => {
    const [id, startedAt, acceptedOrders, from, to] = update;
    const endpoint = endpoints.find(id);
    if (endpoint?.record.startedAt !== startedAt) return;
    const known = endpoint.acceptedOrders ?? 0;
    if (known > acceptedOrders) return;
    // Relayed, because the planner itself reaches only a few nodes in a round.
    if (known < acceptedOrders) relayed.set(id, { at: now(), update });
    endpoint.acceptedOrders = acceptedOrders;
    endpoint.layersReportedAt = now();
    endpoint.layers = to > from ? { from, to } : undefined;
  };
  return {
    apply: (updates) => {
      updates.forEach(applyUpdate);
    },
    list: () => {
      for (const [id, { at }] of relayed) if (now() - at > RELAY_MILLISECONDS) relayed.delete(id);
      return [...relayed.values()].map(({ update }) => update);
    },
  };
}
