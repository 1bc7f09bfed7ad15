/**
 * Questions to endpoints that requests wait for: which of them are lost, and how fast the rest are.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { Wire } from '../../../types/relay/index.js';
import type { EndpointReport } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';

/** Options of {@link createExaminer}. */
export interface CreateExaminerOptions {
  readonly endpoints: EndpointTable;
  readonly wire: Pick<Wire, 'askReport'>;
  readonly logger: SiteLogger;
  readonly now: () => number;
  /** Called when this node itself found that an endpoint is lost. */
  readonly onLost: (endpoint: string) => void;
}

/** Examiner of one node. */
export interface Examiner {
  /** Asks an endpoint, unless it was asked just now; resolves to whether it answered. */
  readonly examine: (endpoint: string, reason: string) => Promise<boolean>;
  /** Believes at once that an endpoint is lost. */
  readonly reportLost: (endpoint: string, reason: string) => void;
  /** Takes a report that was asked for elsewhere. */
  readonly takeReport: (endpoint: Endpoint, report: EndpointReport) => void;
}

/** How long the outcome of a question is used again, in milliseconds. */
const FRESH_MILLISECONDS = 200;
/** How long a lost endpoint is believed to be lost, unless it starts again, in milliseconds. */
const LOST_MILLISECONDS = 3_000;
/** Pace from which an endpoint counts as slow; 1 is usual. */
const SLOW_PACE = 1.3;
/** A node that loses more than this share of the endpoints is more likely cut off itself. */
const MOST_LOST_SHARE = 0.5;

interface Question {
  readonly askedAt: number;
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
  const { endpoints, wire, logger, now, onLost } = options;
  const questions = new Map<string, Question>();

  const seemsCutOff = (): boolean => {
    const list = endpoints.list();
    const lost = list.filter(({ lostUntil }) => lostUntil > now()).length;
    return lost > list.length * MOST_LOST_SHARE;
  };
  const reportLost = (id: string, reason: string): void => {
    const endpoint = endpoints.find(id);
    if (!endpoint || !endpoints.markLost(endpoint, now(), LOST_MILLISECONDS)) return;
    logger.log('warn', 'endpoint-lost', { endpoint: id, reason });
    if (!seemsCutOff()) onLost(id);
  };
  const takeReport = (endpoint: Endpoint, report: EndpointReport): void => {
    const { record } = endpoint;
    if (report.bornAt !== 0 && report.bornAt < record.bornAt) return;
    if (report.bornAt > record.bornAt) endpoint.record = { ...record, bornAt: report.bornAt };
    endpoint.acceptedOrders = report.acceptedOrders;
    endpoint.layers = report.layers;
    endpoint.layersReportedAt = now();
    endpoint.reportedTokenLayers = report.usedTokenLayers;
    endpoint.reportedAt = now();
    endpoint.pace = report.pace > SLOW_PACE ? report.pace : 1;
    for (const address of report.stalledAddresses) {
      const stalled = endpoints.findByAddress(address);
      if (stalled) void examine(stalled.record.id, 'stalled');
    }
  };
  const ask = async (endpoint: Endpoint, reason: string): Promise<boolean> => {
    const { id, address } = endpoint.record;
    const report = await wire.askReport(address);
    if (endpoints.find(id) !== endpoint) return false;
    if (!report) {
      reportLost(id, reason);
      return false;
    }
    endpoints.markFound(endpoint);
    takeReport(endpoint, report);
    return true;
  };
  const examine = (id: string, reason: string): Promise<boolean> => {
    const endpoint = endpoints.find(id);
    if (!endpoint) return Promise.resolve(false);
    const last = questions.get(id);
    if (last && now() - last.askedAt < FRESH_MILLISECONDS) return last.outcome;
    const question = { askedAt: now(), outcome: ask(endpoint, reason) };
    questions.set(id, question);
    return question.outcome;
  };
  return { examine, reportLost, takeReport };
}
