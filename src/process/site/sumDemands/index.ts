/**
 * Demand of all nodes for a service, estimated from the nodes that reported theirs.
 */
import type { PriorityDemand, ServiceDemand } from '../../../types/admission/index.js';

/** Demand of one node. */
export interface NodeDemand {
  readonly availabilityZone: string;
  readonly demand: ServiceDemand;
}

type DemandNumbers = Omit<PriorityDemand, 'priority'>;

const NO_DEMAND: DemandNumbers = {
  requestsPerSecond: 0,
  tokenLayersPerSecond: 0,
  heldRequests: 0,
  heldTokenLayers: 0,
};

function addScaled(sum: DemandNumbers, added: DemandNumbers, factor: number): DemandNumbers {
  return {
    requestsPerSecond: sum.requestsPerSecond + factor * added.requestsPerSecond,
    tokenLayersPerSecond: sum.tokenLayersPerSecond + factor * added.tokenLayersPerSecond,
    heldRequests: sum.heldRequests + factor * added.heldRequests,
    heldTokenLayers: sum.heldTokenLayers + factor * added.heldTokenLayers,
  };
}

/**
 * Counts nodes by availability zone.
 *
 * @param nodes - the nodes, or what they reported
 * @returns number of nodes by availability zone
 * @example
 * countByZone([{ availabilityZone: 'mission' }]).get('mission'); // 1
 */
export function countByZone(
  nodes: readonly { readonly availabilityZone: string }[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { availabilityZone } of nodes)
    counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
  return counts;
}

/** Computes the mean stay, weighted by the requests that the nodes hold. */
function computeMeanStay(reported: readonly NodeDemand[]): number {
  let weights = 0;
  let weightedStays = 0;
  for (const { demand } of reported) {
    if (demand.stayMilliseconds === 0) continue;
    const weight = demand.priorities.reduce((sum, { heldRequests }) => sum + heldRequests, 1);
    weights += weight;
    weightedStays += weight * demand.stayMilliseconds;
  }
  return weights > 0 ? weightedStays / weights : 0;
}

/**
 * Estimates the demand of all nodes.
 *
 * A node without a report counts as the mean of its availability zone, or of all nodes where its zone has none with
 * a report.
 *
 * @param reported - demand of the nodes that are known, this one included
 * @param nodesByZone - number of live nodes by availability zone, this one included
 * @returns the demand of all nodes together
 * @example
 * sumDemands([{ availabilityZone: 'mission', demand }], new Map([['mission', 6]]));
 */
export function sumDemands(
  reported: readonly NodeDemand[],
  nodesByZone: ReadonlyMap<string, number>,
): ServiceDemand {
  const reporting = countByZone(reported);
  let nodes = 0;
  let nodesInReportingZones = 0;
  for (const [zone, count] of nodesByZone) {
    nodes += count;
    if (reporting.has(zone)) nodesInReportingZones += Math.max(count, reporting.get(zone) ?? 0);
  }
  const otherZonesFactor = Math.max(1, nodes / Math.max(1, nodesInReportingZones));
  const sums = new Map<number, DemandNumbers>();
  for (const { availabilityZone, demand } of reported) {
    const reportingNodes = reporting.get(availabilityZone) ?? 1;
    const zoneFactor = Math.max(1, (nodesByZone.get(availabilityZone) ?? 0) / reportingNodes);
    for (const numbers of demand.priorities) {
      const sum = sums.get(numbers.priority) ?? NO_DEMAND;
      sums.set(numbers.priority, addScaled(sum, numbers, zoneFactor * otherZonesFactor));
    }
  }
  return {
    stayMilliseconds: computeMeanStay(reported),
    priorities: [...sums]
      .map(([priority, numbers]) => ({ priority, ...numbers }))
      .sort((left, right) => left.priority - right.priority),
  };
}
