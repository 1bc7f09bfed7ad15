/**
 * Load that other nodes put on endpoints, estimated from the nodes that reported theirs.
 */

/** Load of one node, by endpoint. */
export interface NodeLoad {
  readonly availabilityZone: string;
  /** Endpoint, requests, and KV-cache memory in token-layers. */
  readonly loads: readonly (readonly [string, number, number])[];
}

/** Load of several nodes on one endpoint. */
export interface EndpointLoad {
  readonly requests: number;
  readonly tokenLayers: number;
}

/**
 * Estimates the load of all other nodes.
 *
 * Nodes of one availability zone use endpoints in a similar way, so nodes without a recent load report
 * count as the mean of those with one.
 *
 * @param reported - loads that nodes reported recently
 * @param countNodes - returns the number of other live nodes of an availability zone
 * @returns load by endpoint
 * @example
 * sumLoads([{ availabilityZone: 'mission', loads: [['i-1', 2, 900]] }], () => 2).get('i-1');
 */
export function sumLoads(
  reported: readonly NodeLoad[],
  countNodes: (availabilityZone: string) => number,
): Map<string, EndpointLoad> {
  const reportingNodesByZone = new Map<string, number>();
  for (const { availabilityZone } of reported) {
    reportingNodesByZone.set(
      availabilityZone,
      (reportingNodesByZone.get(availabilityZone) ?? 0) + 1,
    );
  }
  const sums = new Map<string, EndpointLoad>();
  for (const { availabilityZone, loads } of reported) {
    const reportingNodes = reportingNodesByZone.get(availabilityZone) ?? 1;
    const factor = Math.max(1, countNodes(availabilityZone) / reportingNodes);
    for (const [endpoint, requests, tokenLayers] of loads) {
      const sum = sums.get(endpoint) ?? { requests: 0, tokenLayers: 0 };
      sums.set(endpoint, {
        requests: sum.requests + requests * factor,
        tokenLayers: sum.tokenLayers + tokenLayers * factor,
      });
    }
  }
  return sums;
}
