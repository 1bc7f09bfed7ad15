/**
 * Decision functions of a node that tests replace by naive versions for comparison.
 */
import type { decideIntent } from '../../../request/decideIntent/index.js';
import type { checkToken } from '../../../request/checkToken/index.js';
import type { mergeMember } from '../../membership/mergeMember/index.js';

/** Replaceable decision functions and limits. */
export interface NodeDecisions {
  readonly decideIntent?: typeof decideIntent;
  readonly checkToken?: typeof checkToken;
  readonly mergeMember?: typeof mergeMember;
  readonly isNewerRevision?: (offeredRevision: number, activeRevision: number) => boolean;
  /** Time before the end of the lease at which the claim expires for its holder, in milliseconds. */
  readonly claimMarginMilliseconds?: number;
}
