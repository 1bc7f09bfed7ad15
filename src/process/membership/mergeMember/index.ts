/**
 * Precedence between two records of one node.
 */
import type { Member, MemberState } from '../../../types/peer/index.js';

/** Room for refutations within one start of a process. */
const REFUTATIONS_PER_START = 1_000;

const STATE_PRECEDENCE: Record<MemberState, number> = { alive: 0, leaving: 1, suspect: 2, dead: 3 };

/**
 * Computes the gossip incarnation that a process starts with.
 *
 * @param startedAt - incarnation of the process: its start in milliseconds since the epoch
 * @returns the first gossip incarnation; refutations count upwards from it
 * @example
 * computeFirstIncarnation(1_700_000_000_000);
 */
export function computeFirstIncarnation(startedAt: number): number {
  return startedAt * REFUTATIONS_PER_START;
}

/**
 * Computes the process incarnation that a gossip incarnation belongs to.
 *
 * @param incarnation - gossip incarnation of a member
 * @returns the start of the process in milliseconds since the epoch
 * @example
 * computeProcessIncarnation(member.incarnation);
 */
export function computeProcessIncarnation(incarnation: number): number {
  return Math.floor(incarnation / REFUTATIONS_PER_START);
}

/**
 * Decides which of two records of a node holds.
 *
 * The higher incarnation wins; within one incarnation the worse state wins, so that only the node
 * itself can refute a suspicion, by a higher incarnation.
 *
 * @param present - the record held so far, if any
 * @param incoming - the record received
 * @returns the record that holds; identical to `present` when nothing changes
 * @example
 * mergeMember(undefined, incoming) === incoming; // true
 */
export function mergeMember(present: Member | undefined, incoming: Member): Member {
  if (!present) return incoming;
  if (incoming.incarnation > present.incarnation) return incoming;
  if (incoming.incarnation < present.incarnation) return present;
  if (STATE_PRECEDENCE[incoming.state] <= STATE_PRECEDENCE[present.state]) return present;
  return incoming;
}
