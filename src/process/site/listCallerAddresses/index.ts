/**
 * Choice of the nodes that a caller is told to use.
 */
import type { NodeRecord } from '../../../types/site/index.js';

/** Nodes that an answer names at least, if there are as many. */
const MINIMUM_ADDRESSES = 2;
const MAXIMUM_ADDRESSES = 64;

/**
 * Lists the addresses that a caller is told to use.
 *
 * Nodes of the caller's availability zone, so that answers do not cross zones; some of other zones
 * where the caller would else depend on one node alone.
 *
 * @param nodes - the nodes that live
 * @param availabilityZone - the caller's availability zone
 * @param random - numbers from 0 to 1
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
