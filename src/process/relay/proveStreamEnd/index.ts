/**
 * Proof that a stream which ended with its connection is complete.
 */
import type { PathHop } from '../../../types/site/index.js';
import type { EndpointProber } from '../createEndpointProber/index.js';

/**
 * Time limit of the report, in milliseconds. The caller has all events, so a busy endpoint gets more time than in a
 * probe, but less than the 2 s after which callers leave a silent stream.
 */
const REPORT_TIMEOUT_MILLISECONDS = 1_000;

/** Run whose connection ended. */
export interface EndedRun {
  readonly endpoint: string;
  /** Address that the run was sent to. */
  readonly address: string;
  /** Unix time of the endpoint's start when the run was sent, in milliseconds; 0 when it is unknown. */
  readonly startedAt: number;
  /** Hops of the path, the endpoint first. */
  readonly hops: readonly PathHop[];
}

/** What the endpoint's report shows. */
export interface StreamEndProof {
  /** Whether the incarnation that answered still runs, and waits for no other endpoint of the path. */
  readonly isComplete: boolean;
  /** Whether the incarnation that answered still runs; undefined where it was not asked. */
  readonly isRunning?: boolean;
}

/**
 * Requests the report of the endpoint at the address that the run was sent to, whatever the endpoint table says, and
 * compares the start.
 *
 * @param prober - prober of endpoints
 * @param run - the run whose connection ended
 * @param reason - why the endpoint is marked as lost when it does not respond
 * @returns the proof
 * @example
 * (await proveStreamEnd(prober, run, 'connection ended')).isComplete;
 */
export async function proveStreamEnd(
  prober: Pick<EndpointProber, 'fetchReportAt'>,
  { endpoint, address, startedAt, hops }: EndedRun,
  reason: string,
): Promise<StreamEndProof> {
  // Without a known start, as that of a request handed over to another node, no report can name the incarnation.
  if (startedAt === 0) return { isComplete: false };
  const report = await prober.fetchReportAt(endpoint, address, {
    reason,
    timeoutMilliseconds: REPORT_TIMEOUT_MILLISECONDS,
  });
  const isRunning = report?.startedAt === startedAt;
  // The first endpoint may end the response itself after it has lost a later one.
  const stalled = new Set(report?.stalledAddresses);
  const isStalled = hops.slice(1).some((hop) => stalled.has(hop.address));
  return { isComplete: isRunning && !isStalled, isRunning };
}
