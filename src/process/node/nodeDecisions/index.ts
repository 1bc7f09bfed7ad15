/**
 * Decisions of a node that naive versions replace in comparisons.
 */
import type { decideIntent } from '../../../request/decideIntent/index.js';
import type { guardToken } from '../../../request/guardToken/index.js';
import type { mergeMember } from '../../membership/mergeMember/index.js';

/** Decisions that can be replaced. */
export interface NodeDecisions {
  readonly decideIntent?: typeof decideIntent;
  readonly guardToken?: typeof guardToken;
  readonly mergeMember?: typeof mergeMember;
  readonly isNewerRevision?: (offered: number, inForce: number) => boolean;
  /** Part of the claim's lease in which it no longer counts, in milliseconds. */
  readonly claimMarginMilliseconds?: number;
}
