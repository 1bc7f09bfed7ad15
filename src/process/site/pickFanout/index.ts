/**
 * Nodes that a node forwards news to at once.
 */
import type { NodeRecord } from '../../../types/site/index.js';
import { shuffleItems } from '../../shuffleItems/index.js';

/** Options of {@link pickFanout}. */
export interface PickFanoutOptions {
  readonly self: Pick<NodeRecord, 'name' | 'availabilityZone'>;
  /** The live nodes, this one included. */
  readonly nodes: readonly NodeRecord[];
  readonly random: () => number;
}

/** Number of other nodes up to which all of them are picked. */
const SMALL_SITE_NODES = 12;
const ZONE_FANOUT = 2;
const REMOTE_FANOUT = 1;

/**
 * Picks the nodes to forward news to: all in a small site, a few in a large one, which forward them in turn.
 *
 * @param options - this node, the live nodes and the random numbers
 * @returns addresses for messages
 * @example
 * pickFanout({ self, nodes: listAlive(), random });
 */
export function pickFanout({ self, nodes, random }: PickFanoutOptions): readonly string[] {
  const others = nodes.filter(({ name }) => name !== self.name);
  if (others.length <= SMALL_SITE_NODES) return others.map(({ peerAddress }) => peerAddress);
  const isLocal = (node: NodeRecord): boolean => node.availabilityZone === self.availabilityZone;
  const shuffled = shuffleItems(others, random);
  const local = shuffled.filter(isLocal).slice(0, ZONE_FANOUT);
  const remote = shuffled.filter((node) => !isLocal(node)).slice(0, REMOTE_FANOUT);
  return [...local, ...remote].map(({ peerAddress }) => peerAddress);
}
