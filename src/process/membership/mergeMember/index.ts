/**
 * Precedence between two records of one node.
 */
import type { Member, MemberState } from '../../../types/peer/index.js';

/** Number of gossip incarnations reserved for refutations of one process. */
const REFUTATIONS_PER_START = 1_000;

const STATE_PRECEDENCE: Record<MemberState, number> = { alive: 0, leaving: 1, suspect: 2, dead: 3 };

/**
 * Computes the first gossip incarnation of a process.
 *
 * @param startedAt - start of the process in milliseconds since the epoch
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
 * Merges two records of one node.
 *
 * The higher incarnation takes precedence; within one incarnation the worse state does, so that
 * only the node itself can refute a suspicion, by a higher incarnation.
 *
 * @param present - the stored record, if any
 * @param incoming - the received record
 * @returns the record that takes precedence; identical to `present` when nothing changes
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
