/**
 * Chooses the nodes that watch the store on behalf of the other nodes of their group.
 */
import { rankRendezvous } from '../../hashRendezvous/index.js';
import type { FollowerRole } from '../createStoreFollower/index.js';

/** Options of {@link chooseFollowerRole}. */
export interface ChooseFollowerRoleOptions {
  readonly self: string;
  /** Other live nodes of the group that report access to the store. */
  readonly others: readonly string[];
  /** Whether this node reaches the store. */
  readonly isReachable: boolean;
}

/** Number of nodes that watch for the others; with two, one may fail without an interruption. */
const FOLLOWERS = 2;
/** Number of other nodes below which each node watches for itself. */
const SMALL_GROUP_NODES = 8;

/**
 * Chooses how a node follows the store.
 *
 * Nodes that disagree on the members of the group may choose more or fewer followers than intended.
 * That only costs calls: a node that receives no changes for a while watches the store itself.
 *
 * @param options - the node, and the others that reach the store
 * @returns the role
 * @example
 * chooseFollowerRole({ self: 'node-1', others: ['node-2'], isReachable: true }); // 'alone'
 */
export function chooseFollowerRole({
  self,
  others,
  isReachable,
}: ChooseFollowerRoleOptions): FollowerRole {
  if (others.length < SMALL_GROUP_NODES) return 'alone';
  if (!isReachable) return 'throughOthers';
  const followers = rankRendezvous('store', [self, ...others]).slice(0, FOLLOWERS);
  return followers.includes(self) ? 'forOthers' : 'throughOthers';
}
