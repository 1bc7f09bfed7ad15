/**
 * Decision functions of a node, which can be replaced to compare versions of them.
 */
import { computeAdmissionShares } from '../../../request/computeAdmissionShares/index.js';
import { choosePath } from '../../../request/choosePath/index.js';
import { planPlacement } from '../../../version/planPlacement/index.js';

/** Decisions of a node. */
export interface SiteDecisions {
  readonly planPlacement: typeof planPlacement;
  readonly choosePath: typeof choosePath;
  readonly computeAdmissionShares: typeof computeAdmissionShares;
  /**
   * Whether streams are moved off a lost endpoint that is not the first of the path, rather than
   * restarted.
   */
  readonly movesRuns: boolean;
  /**
   * Whether a path within target in the local availability zone is used without a search of remote
   * zones.
   */
  readonly prefersLocalZone: boolean;
}

/** Decisions that a node uses unless others are injected. */
export const SITE_DECISIONS: SiteDecisions = {
  planPlacement,
  choosePath,
  computeAdmissionShares,
  movesRuns: true,
  prefersLocalZone: true,
};
