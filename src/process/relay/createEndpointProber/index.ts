/**
 * Probes of endpoints that requests wait for: finds unreachable endpoints and measures slow ones.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import { createTokenBucket } from '../../../request/createTokenBucket/index.js';
import type { EndpointControl } from '../../../types/relay/index.js';
import type { EndpointReport } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { RateLimits } from '../../site/createRateLimits/index.js';
import type { LinkMonitor } from '../createLinkMonitor/index.js';
import { recordLeaving } from '../recordResponse/index.js';

/** Options of {@link createEndpointProber}. */
export interface CreateEndpointProberOptions {
  readonly endpoints: EndpointTable;
  readonly endpointPort: Pick<EndpointControl, 'fetchReport'>;
  readonly links: Pick<LinkMonitor, 'record' | 'check'>;
  readonly rateLimits: Pick<RateLimits, 'record'>;
  readonly logger: SiteLogger;
  readonly now: () => number;
  /** Called when this node finds an endpoint unreachable. */
  readonly onLost: (endpoint: string) => void;
}

/** Prober of one node. */
export interface EndpointProber {
  /**
   * Fetches the report of an endpoint, unless a recent result can be reused; resolves to whether
   * the endpoint responded. Results of probes that began before `notBefore`, in milliseconds, are not
   * reused.
   */
  readonly probe: (endpoint: string, reason: string, notBefore?: number) => Promise<boolean>;
  /** Probes the endpoints of an idle path: the first one at first, all of them in later rounds. */
  readonly probePath: (endpoints: readonly string[], round: number) => void;
  /**
   * Fetches the report at the address that an endpoint had; undefined when there is none within a time in
   * milliseconds. The report is applied where the endpoint is known at that address.
   */
  readonly fetchReportAt: (
    endpoint: string,
    address: string,
    options: { readonly reason: string; readonly timeoutMilliseconds: number },
  ) => Promise<EndpointReport | undefined>;
  /** Fetches and applies the report of an endpoint; undefined when there is none. */
  readonly refreshReport: (endpoint: Endpoint) => Promise<EndpointReport | undefined>;
  /** Marks an endpoint as lost without a probe. */
  readonly reportLost: (endpoint: string, reason: string) => void;
}

/** Time for which the result of a probe is reused, in milliseconds. */
const RESULT_REUSE_MILLISECONDS = 200;
/** Time for which an endpoint stays marked as lost, unless it restarts, in milliseconds. */
const LOST_MARK_MILLISECONDS = 3_000;
/** Slowdown above which an endpoint counts as slow; 1 is the normal speed. */
const SLOW_ENDPOINT_SLOWDOWN = 1.3;
/** Rate limit of the probes of idle paths: probes per second and maximum burst. */
const PROBES_PER_SECOND = 30;
const MAXIMUM_PROBE_BURST = 60;

/** Number of rounds in which only the first endpoint of an idle path is probed. */
const FIRST_HOP_ROUNDS = 1;

interface RecentProbe {
  readonly startedAt: number;
  readonly outcome: Promise<boolean>;
}

/**
 * Creates a prober of the endpoints that requests wait for.
 *
 * An endpoint is marked as lost when it does not return its report, or when another endpoint
 * reports that it waits for it without success. The listeners then move streams to other paths.
 *
 * @param options - the endpoints, the control port, the logger and the callback
 * @returns the prober
 * @example
 * await createEndpointProber(options).probe('i-1', 'silence');
 */
export function createEndpointProber(options: CreateEndpointProberOptions): EndpointProber {
  const { endpoints, endpointPort, links, rateLimits, logger, now, onLost } = options;
  const recentProbes = new Map<string, RecentProbe>();
  const probeLimit = createTokenBucket({
    tokensPerSecond: PROBES_PER_SECOND,
    burst: MAXIMUM_PROBE_BURST,
    now,
  });

  const reportLost = (id: string, reason: string): void => {
    const endpoint = endpoints.find(id);
    if (!endpoint) return;
    const hasChanged = endpoints.markLost(endpoint, now(), LOST_MARK_MILLISECONDS);
    endpoint.lossFoundAt = now();
    if (!hasChanged) return;
    logger.log('endpoint-lost', { endpoint: id, reason });
    onLost(id);
  };
  const recordFound = (endpoint: Endpoint): void => {
    if (endpoint.lostUntil > now()) logger.log('endpoint-found', { endpoint: endpoint.record.id });
    endpoints.markFound(endpoint);
  };
  const applyReport = (endpoint: Endpoint, report: EndpointReport): void => {
    const { record } = endpoint;
    if (report.startedAt !== 0 && report.startedAt < record.startedAt) return;
    if (report.startedAt > record.startedAt) endpoints.recordRestart(endpoint, report.startedAt);
    if (report.isLeaving) recordLeaving({ endpoints, logger, now: now() }, endpoint, 'itself');
    rateLimits.record(endpoint.record, report.requestsPerSecond, 'report');
    endpoint.acceptedOrders = report.acceptedOrders;
    endpoint.layers = report.layers;
    endpoint.layersReportedAt = now();
    endpoint.reportedTokenLayers = report.usedTokenLayers;
    endpoint.reportedAt = now();
    const slowdown = report.slowdown > SLOW_ENDPOINT_SLOWDOWN ? report.slowdown : 1;
    if (slowdown !== endpoint.slowdown)
      logger.log('endpoint-pace', { endpoint: record.id, pace: slowdown });
    endpoint.slowdown = slowdown;
    for (const address of report.stalledAddresses) {
      const stalled = endpoints.findByAddress(address);
      // The reporting endpoint already waited for data and got none, so no probe is needed.
      if (stalled) reportLost(stalled.record.id, `stalls ${record.id}`);
    }
  };
  const recordFetched = (
    endpoint: Endpoint,
    report: EndpointReport | undefined,
    startedAt: number,
  ): void => {
    const { id } = endpoint.record;
    if (!report) {
      void links.check(id, startedAt);
      return;
    }
    links.record(id, true, startedAt);
    recordFound(endpoint);
    applyReport(endpoint, report);
  };
  const refreshReport = async (endpoint: Endpoint): Promise<EndpointReport | undefined> => {
    const { id, address } = endpoint.record;
    const startedAt = now();
    const report = await endpointPort.fetchReport(address);
    if (endpoints.find(id) !== endpoint) return undefined;
    recordFetched(endpoint, report, startedAt);
    return report;
  };
  const fetchReportAt: EndpointProber['fetchReportAt'] = async (id, address, options) => {
    const startedAt = now();
    const report = await endpointPort.fetchReport(address, options.timeoutMilliseconds);
    const endpoint = endpoints.find(id);
    if (endpoint?.record.address !== address) return report;
    recordFetched(endpoint, report, startedAt);
    if (!report) reportLost(id, options.reason);
    return report;
  };
  const runProbe = async (endpoint: Endpoint, reason: string): Promise<boolean> => {
    const report = await refreshReport(endpoint);
    const { id } = endpoint.record;
    if (!report && endpoints.find(id) === endpoint) reportLost(id, reason);
    return report !== undefined;
  };
  const probe: EndpointProber['probe'] = (id, reason, notBefore = Number.NEGATIVE_INFINITY) => {
    const endpoint = endpoints.find(id);
    if (!endpoint) return Promise.resolve(false);
    const last = recentProbes.get(id);
    const reusedFrom = Math.max(now() - RESULT_REUSE_MILLISECONDS, notBefore);
    if (last && last.startedAt >= reusedFrom) return last.outcome;
    const outcome = runProbe(endpoint, reason);
    recentProbes.set(id, { startedAt: now(), outcome });
    return outcome;
  };
  const probePath = (path: readonly string[], round: number): void => {
    // The report of the first endpoint lists the addresses that its requests wait for. The other
    // endpoints are probed only when that does not resolve the stall.
    const probed = round <= FIRST_HOP_ROUNDS ? path.slice(0, 1) : path;
    for (const id of probed) if (probeLimit.take()) void probe(id, 'silence');
  };
  return { probe, probePath, fetchReportAt, refreshReport, reportLost };
}
