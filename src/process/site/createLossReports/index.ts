/**
 * Reports of other nodes that endpoints are lost.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointProber } from '../../relay/createEndpointProber/index.js';
import type { LinkMonitor } from '../../relay/createLinkMonitor/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import type { LogFields } from '../logEvents/index.js';

/** Options of {@link createLossReports}. */
export interface CreateLossReportsOptions {
  readonly endpoints: Pick<EndpointTable, 'find'>;
  readonly prober: Pick<EndpointProber, 'probe'>;
  readonly links: Pick<LinkMonitor, 'isIsolated' | 'readConnectedAge'>;
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
/**
 * Nodes of a group that check a loss which one node reported, and which several did, in addition to those that use the
 * endpoint.
 */
const FIRST_CHECKERS = 4;
const LATER_CHECKERS = 12;
/** Nodes whose reports of one loss are considered. */
const MAXIMUM_REPORTERS = 2;
/** Time for which a connection of this node goes before reports of others, in milliseconds. */
const OWN_EVIDENCE_MILLISECONDS = 500;

/**
 * Creates the handling of reports.
 *
 * A report is a reason to check the endpoint and never a mark: the nodes that report it may be cut off from
 * endpoints, several of them at once. It is checked by the nodes that use the endpoint and by a few others, and by more
 * once several nodes report it. A node announces only losses that it found itself.
 *
 * @param options - the endpoints, the prober, the links and the group of nodes
 * @returns the handling
 * @example
 * createLossReports(options).apply('i-1', 'node-2');
 */
export function createLossReports(options: CreateLossReportsOptions): LossReports {
  const { endpoints, prober, links, logger, now, random, countGroup } = options;
  /** Nodes that reported the loss of an endpoint, and when the first one did. */
  const reports = new Map<string, { readonly reporters: Set<string>; readonly at: number }>();

  const chooseAction = (endpoint: Endpoint, reporters: number): LossReportAction => {
    const { id } = endpoint.record;
    if (links.isIsolated() || links.readConnectedAge(id) < OWN_EVIDENCE_MILLISECONDS)
      return 'ignored';
    const checkers = reporters === 1 ? FIRST_CHECKERS : LATER_CHECKERS;
    const share = checkers / Math.max(1, countGroup());
    return endpoint.localRequests > 0 || random() < share ? 'checked' : 'left';
  };
  const findReport = (id: string) => {
    const known = reports.get(id);
    if (known && now() - known.at < REPORT_MILLISECONDS) return known;
    const report = { reporters: new Set<string>(), at: now() };
    reports.set(id, report);
    return report;
  };
  return {
    apply: (id, reporter) => {
      const endpoint = endpoints.find(id);
      if (!endpoint || endpoint.lostUntil > now()) return;
      const { reporters } = findReport(id);
      // Each node repeats its report for a time; further reporters add nothing to a check.
      if (reporters.has(reporter) || reporters.size >= MAXIMUM_REPORTERS) return;
      reporters.add(reporter);
      const action = chooseAction(endpoint, reporters.size);
      const age = links.readConnectedAge(id);
      const connectedAge = Number.isFinite(age) ? Math.round(age) : -1;
      logger.log('endpoint-loss-reported', { endpoint: id, peer: reporter, action, connectedAge });
      if (action === 'checked') void prober.probe(id, `reported by ${reporter}`);
    },
  };
}
