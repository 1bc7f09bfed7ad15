/**
 * Table of known members with a digest of their states.
 */
import type { Member } from '../../../types/peer/index.js';
import { hashText } from '../../hashRendezvous/index.js';

/** Members by name, without the local node. */
export interface MemberTable {
  readonly list: () => Member[];
  readonly find: (node: string) => Member | undefined;
  readonly put: (member: Member) => void;
  readonly remove: (node: string) => void;
  readonly countAlive: () => number;
  /** Digest that is equal on nodes that have the same members in the same states. */
  readonly digest: () => number;
}

/**
 * Computes a member's contribution to the digest.
 *
 * @param member - the member
 * @returns 32 bits; 0 for a dead member, because nodes remove dead members at different times
 * @example
 * digestMember(localMember);
 */
export function digestMember({ node, incarnation, state }: Member): number {
  return state === 'dead' ? 0 : hashText(`${node}/${incarnation.toString()}/${state}`);
}

/**
 * Creates an empty table of members.
 *
 * @returns the table
 * @example
 * createMemberTable().countAlive(); // 0
 */
export function createMemberTable(): MemberTable {
  const members = new Map<string, Member>();
  let digest = 0;
  const removeFromDigest = (node: string): void => {
    const present = members.get(node);
    if (present) digest ^= digestMember(present);
  };
  return {
    list: () => [...members.values()],
    find: (node) => members.get(node),
    put: (member) => {
      removeFromDigest(member.node);
      digest ^= digestMember(member);
      members.set(member.node, member);
    },
    remove: (node) => {
      removeFromDigest(node);
      members.delete(node);
    },
    countAlive: () => [...members.values()].filter(({ state }) => state === 'alive').length,
    digest: () => digest,
  };
}
