/**
 * Chooses the nodes whose addresses a caller receives.
 */
import type { NodeRecord } from '../../../types/site/index.js';

/** Minimum number of addresses in a response, if there are as many nodes. */
const MINIMUM_ADDRESSES = 2;
const MAXIMUM_ADDRESSES = 64;

/**
 * Lists the addresses that a caller should use.
 *
 * They belong to nodes of the caller's availability zone, so that responses do not cross zones. Nodes
 * of other zones are added where the caller would otherwise depend on a single node.
 *
 * @param nodes - the live nodes
 * @param availabilityZone - the caller's availability zone
 * @param random - returns numbers from 0 to 1
 * @returns addresses, at most {@link MAXIMUM_ADDRESSES}
 * @example
 * listCallerAddresses(nodes, 'mission', random);
 */
export function listCallerAddresses(
  nodes: readonly NodeRecord[],
  availabilityZone: string,
  random: () => number,
): string[] {
  const serving = nodes.filter(({ isLeaving }) => !isLeaving);
  const localZone = serving.filter((node) => node.availabilityZone === availabilityZone);
  const remoteZones = serving.filter((node) => node.availabilityZone !== availabilityZone);
  const missing = Math.max(0, MINIMUM_ADDRESSES - localZone.length);
  const start = Math.floor(random() * Math.max(1, remoteZones.length));
  const added = [...remoteZones.slice(start), ...remoteZones.slice(0, start)].slice(0, missing);
  return [...localZone, ...added]
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({ callerAddress }) => callerAddress);
}
