/**
 * Choice of the nodes that watch the store for the others of their group.
 */
import { rankRendezvous } from '../../hashRendezvous/index.js';
import type { FollowerRole } from '../followStore/index.js';

/** Options of {@link chooseFollowerRole}. */
export interface ChooseFollowerRoleOptions {
  readonly self: string;
  /** Other living nodes of the group that reach the store, as they say. */
  readonly others: readonly string[];
  /** Whether this node reaches the store. */
  readonly isReachable: boolean;
}

/** Nodes that watch for the others, so that one may fail unnoticed. */
const FOLLOWERS = 2;
/** Nodes up to which each watches for itself. */
const SMALL_GROUP_NODES = 8;

/**
 * Chooses how a node follows the store.
 *
 * Nodes that see the group differently may choose more or fewer followers than meant. That only costs
 * calls: a node that hears of no follower for a while watches by itself.
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
