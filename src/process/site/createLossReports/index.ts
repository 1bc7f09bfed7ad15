/**
 * Reports of other nodes that endpoints are lost.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointProber } from '../../relay/createEndpointProber/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { LogFields } from '../logEvents/index.js';

/** Options of {@link createLossReports}. */
export interface CreateLossReportsOptions {
  readonly endpoints: Pick<EndpointTable, 'find' | 'markLost'>;
  readonly prober: Pick<EndpointProber, 'probe'>;
  readonly logger: Pick<SiteLogger, 'log'>;
  readonly now: () => number;
  readonly random: () => number;
  /** Returns the number of other live nodes that check reports together with this one. */
  readonly countGroup: () => number;
}

type LossReportAction = LogFields<'endpoint-loss-reported'>['action'];

/** Reports of losses. */
export interface LossReports {
  /** Handles the report of a node that an endpoint is lost. */
  readonly apply: (endpoint: string, reporter: string) => void;
}

/** How long the first report of a loss is remembered, in milliseconds. */
const REPORT_MILLISECONDS = 3_000;
/** Nodes of a group that check a reported loss, in addition to those that use the endpoint. */
const CHECKERS = 4;
/**
 * How long an endpoint that two nodes reported as lost is marked so without a check, in
 * milliseconds.
 */
const LOST_MARK_MILLISECONDS = 1_500;

/**
 * Creates the handling of reports.
 *
 * The reporting node may itself be isolated from the network, so the report is checked by the nodes
 * that use the endpoint and by a few others. A node announces only losses that it found itself.
 *
 * @param options - the endpoints, the prober and the group of nodes
 * @returns the handling
 * @example
 * createLossReports(options).apply('i-1', 'node-2');
 */
export function createLossReports(options: CreateLossReportsOptions): LossReports {
  const { endpoints, prober, logger, now, random, countGroup } = options;
  /** First node that reported the loss of an endpoint, and when. */
  const reporters = new Map<string, { readonly reporter: string; readonly at: number }>();
  const logReport = (endpoint: Endpoint, peer: string, action: LossReportAction): void => {
    const { id } = endpoint.record;
    const heardAt = Math.max(endpoint.loadReadAt, endpoint.reportedAt);
    const heardAge = Number.isFinite(heardAt) ? Math.round(now() - heardAt) : -1;
    logger.log('endpoint-loss-reported', { endpoint: id, peer, action, heardAge });
  };
  return {
    apply: (id, reporter) => {
      const endpoint = endpoints.find(id);
      if (!endpoint || endpoint.lostUntil > now()) return;
      const first = reporters.get(id);
      if (first && now() - first.at < REPORT_MILLISECONDS) {
        if (first.reporter === reporter) return;
        endpoints.markLost(endpoint, now(), LOST_MARK_MILLISECONDS);
        logReport(endpoint, reporter, 'marked');
        return;
      }
      reporters.set(id, { reporter, at: now() });
      const share = CHECKERS / Math.max(1, countGroup());
      const isChecked = endpoint.localRequests > 0 || random() < share;
      logReport(endpoint, reporter, isChecked ? 'checked' : 'left');
      if (isChecked) void prober.probe(id, `reported by ${reporter}`);
    },
  };
}
