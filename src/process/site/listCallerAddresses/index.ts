/**
 * Choice of the nodes that a caller is told to use.
 */
import type { NodeRecord } from '../../../types/site/index.js';

/** Nodes that an answer names at least, if there are as many. */
const LEAST_ADDRESSES = 2;
const MOST_ADDRESSES = 64;

/**
 * Lists the addresses that a caller is told to use.
 *
 * Nodes of the caller's availability zone, so that answers do not cross zones; some of other zones
 * where the caller would else depend on one node alone.
 *
 * @param nodes - the nodes that live
 * @param availabilityZone - the caller's availability zone
 * @param random - numbers from 0 to 1
 * @returns addresses, at most {@link MOST_ADDRESSES}
 * @example
 * listCallerAddresses(nodes, 'mission', random);
 */
export function listCallerAddresses(
  nodes: readonly NodeRecord[],
  availabilityZone: string,
  random: () => number,
): string[] {
  const serving = nodes.filter(({ isLeaving }) => !isLeaving);
  const near = serving.filter((node) => node.availabilityZone === availabilityZone);
  const far = serving.filter((node) => node.availabilityZone !== availabilityZone);
  const missing = Math.max(0, LEAST_ADDRESSES - near.length);
  const start = Math.floor(random() * Math.max(1, far.length));
  const added = [...far.slice(start), ...far.slice(0, start)].slice(0, missing);
  return [...near, ...added].slice(0, MOST_ADDRESSES).map(({ callerAddress }) => callerAddress);
}
