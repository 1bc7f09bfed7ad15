/**
 * Questions to endpoints that requests wait for: which of them are lost, and how fast the rest are.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointControl } from '../../../types/relay/index.js';
import type { EndpointReport } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import { noteLeaving } from '../noteAnswer/index.js';

/** Options of {@link createExaminer}. */
export interface CreateExaminerOptions {
  readonly endpoints: EndpointTable;
  readonly endpointPort: Pick<EndpointControl, 'fetchReport'>;
  readonly logger: SiteLogger;
  readonly now: () => number;
  /** Called when this node itself found that an endpoint is lost. */
  readonly onLost: (endpoint: string) => void;
}

/** Examiner of one node. */
export interface Examiner {
  /** Asks an endpoint, unless it was asked just now; resolves to whether it answered. */
  readonly examine: (endpoint: string, reason: string) => Promise<boolean>;
  /** Looks for the lost endpoint of a silent path; later rounds ask more of its endpoints. */
  readonly examinePath: (endpoints: readonly string[], round: number) => void;
  /** Asks an endpoint for its report and takes it; undefined when there is none. */
  readonly question: (endpoint: Endpoint) => Promise<EndpointReport | undefined>;
  /** Believes at once that an endpoint is lost. */
  readonly reportLost: (endpoint: string, reason: string) => void;
}

/** How long the outcome of a question is used again, in milliseconds. */
const RESULT_REUSE_MILLISECONDS = 200;
/** How long a lost endpoint is believed to be lost, unless it starts again, in milliseconds. */
const LOST_MARK_MILLISECONDS = 3_000;
/** Pace from which an endpoint counts as slow; 1 is usual. */
const SLOW_ENDPOINT_SLOWDOWN = 1.3;
/** Questions a second that silences may cause, and how many may come at once. */
const PROBES_PER_SECOND = 30;
const MAXIMUM_PROBE_BURST = 60;
/** A node that loses more than this share of the endpoints is more likely cut off itself. */
const MAXIMUM_LOST_SHARE = 0.5;

/** Rounds of one silence in which only the first endpoint is asked. */
const FIRST_HOP_ROUNDS = 1;

interface RecentProbe {
  readonly startedAt: number;
  readonly outcome: Promise<boolean>;
}

/**
 * Creates an examiner.
 *
 * An endpoint that does not answer its report is lost; so is one for which another endpoint waits in
 * vain. Streams through it are then moved by those who listen.
 *
 * @param options - the endpoints, the wire, and whom to tell
 * @returns the examiner
 * @example
 * await createExaminer(options).examine('i-1', 'silence');
 */
export function createExaminer(options: CreateExaminerOptions): Examiner {
  const { endpoints, endpointPort, logger, now, onLost } = options;
  const recentProbes = new Map<string, RecentProbe>();
  let availableProbes = MAXIMUM_PROBE_BURST;
  let refilledAt = now();

  const seemsIsolated = (): boolean => {
    const list = endpoints.list();
    const lost = list.filter(({ lostUntil }) => lostUntil > now()).length;
    return lost > list.length * MAXIMUM_LOST_SHARE;
  };
  const reportLost = (id: string, reason: string): void => {
    const endpoint = endpoints.find(id);
    if (!endpoint) return;
    const hasChanged = endpoints.markLost(endpoint, now(), LOST_MARK_MILLISECONDS);
    endpoint.lossFoundAt = now();
    if (!hasChanged) return;
    logger.log('endpoint-lost', { endpoint: id, reason });
    if (!seemsIsolated()) onLost(id);
  };
  const recordFound = (endpoint: Endpoint): void => {
    if (endpoint.lostUntil > now()) logger.log('endpoint-found', { endpoint: endpoint.record.id });
    endpoints.markFound(endpoint);
  };
  const applyReport = (endpoint: Endpoint, report: EndpointReport): void => {
    const { record } = endpoint;
    if (report.startedAt !== 0 && report.startedAt < record.startedAt) return;
    if (report.startedAt > record.startedAt) endpoints.recordRestart(endpoint, report.startedAt);
    if (report.isLeaving) noteLeaving({ endpoints, logger, now: now() }, endpoint, 'itself');
    endpoint.acceptedOrders = report.acceptedOrders;
    endpoint.layers = report.layers;
    endpoint.layersReportedAt = now();
    endpoint.reportedTokenLayers = report.usedTokenLayers;
    endpoint.reportedAt = now();
    const slowdown = report.slowdown > SLOW_ENDPOINT_SLOWDOWN ? report.slowdown : 1;
    if (slowdown !== endpoint.pace)
      logger.log('endpoint-pace', { endpoint: record.id, pace: slowdown });
    endpoint.pace = slowdown;
    for (const address of report.stalledAddresses) {
      const stalled = endpoints.findByAddress(address);
      // The reporting endpoint itself waits in vain, so there is no need to ask first.
      if (stalled) reportLost(stalled.record.id, `stalls ${record.id}`);
    }
  };
  const question = async (endpoint: Endpoint): Promise<EndpointReport | undefined> => {
    const { id, address } = endpoint.record;
    const report = await endpointPort.fetchReport(address);
    if (!report || endpoints.find(id) !== endpoint) return undefined;
    recordFound(endpoint);
    applyReport(endpoint, report);
    return report;
  };
  const runProbe = async (endpoint: Endpoint, reason: string): Promise<boolean> => {
    const report = await question(endpoint);
    const { id } = endpoint.record;
    if (!report && endpoints.find(id) === endpoint) reportLost(id, reason);
    return report !== undefined;
  };
  const examine = (id: string, reason: string): Promise<boolean> => {
    const endpoint = endpoints.find(id);
    if (!endpoint) return Promise.resolve(false);
    const last = recentProbes.get(id);
    if (last && now() - last.startedAt < RESULT_REUSE_MILLISECONDS) return last.outcome;
    const outcome = runProbe(endpoint, reason);
    recentProbes.set(id, { startedAt: now(), outcome });
    return outcome;
  };
  const takeProbe = (): boolean => {
    const earned = ((now() - refilledAt) * PROBES_PER_SECOND) / 1_000;
    availableProbes = Math.min(MAXIMUM_PROBE_BURST, availableProbes + earned);
    refilledAt = now();
    if (availableProbes < 1) return false;
    availableProbes -= 1;
    return true;
  };
  const examinePath = (path: readonly string[], round: number): void => {
    // The first endpoint names those that its requests wait for; the rest is asked if that is no help.
    const probed = round <= FIRST_HOP_ROUNDS ? path.slice(0, 1) : path;
    for (const id of probed) if (takeProbe()) void examine(id, 'silence');
  };
  return { examine, examinePath, question, reportLost };
}
