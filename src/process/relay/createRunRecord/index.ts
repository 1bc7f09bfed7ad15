/**
 * Record of the current run of a stream: how far it has come, and what its end shows about the request.
 */
import type { ResponseEnd } from '../../../types/relay/index.js';
import type { PathHop } from '../../../types/site/index.js';
import { ESTABLISHED_EVENTS, type CrashCheck } from '../createCrashRecorder/index.js';
import type { RunGate } from '../createRunGate/index.js';
import { proveStreamEnd } from '../proveStreamEnd/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';

/** Record of the current run. */
export interface RunRecord {
  /** Begins the record of a run at its first endpoint. */
  readonly begin: (first: PathHop) => void;
  readonly recordEvent: () => void;
  /** Records that the run delivered a complete response. */
  readonly recordComplete: () => void;
  /** Returns whether the run has answered for long enough to be no cause of a crash. */
  readonly isEstablished: () => boolean;
  /** Records that the run lost its first endpoint; resolves to whether that has crashed. */
  readonly recordBroken: (reason: string, check: CrashCheck) => Promise<boolean>;
  /**
   * Resolves to whether a response that ended is proved to be complete, on the path that the run took last; records
   * the run as broken where it is not.
   */
  readonly confirmEnd: (end: ResponseEnd, hops: readonly PathHop[]) => Promise<boolean>;
}

/** Reason for the failure of a run whose response may be incomplete. */
export const UNPROVEN_END = 'connection ended';

/**
 * Creates the record of a stream without runs.
 *
 * @param context - dependencies of the process
 * @param request - the request
 * @param gate - gate of the request, which learns from its answers
 * @returns the record
 * @example
 * createRunRecord(context, request, gate).begin(first);
 */
export function createRunRecord(
  {
    clock,
    endpoints,
    crashes,
    prober,
  }: Pick<RelayContext, 'clock' | 'endpoints' | 'crashes' | 'prober'>,
  { caller }: Pick<RelayedRequest, 'caller'>,
  gate: Pick<RunGate, 'listParts' | 'recordAnswer' | 'recordCrash'>,
): RunRecord {
  let endpoint = '';
  let address = '';
  let startedAt = 0;
  let sentAt = 0;
  let events = 0;
  const recordBroken = async (
    reason: string,
    check: CrashCheck,
    isRunning?: boolean,
  ): Promise<boolean> => {
    const { report, hasCrashed } = await crashes.recordBrokenRun({
      endpoint,
      startedAt,
      attempt: caller.attempt,
      parts: gate.listParts(),
      sentAt,
      events,
      reason,
      check,
      isRunning,
    });
    if (report) gate.recordCrash(report);
    return hasCrashed;
  };
  return {
    begin: (first) => {
      ({ endpoint, address } = first);
      startedAt = endpoints.find(endpoint)?.record.startedAt ?? 0;
      sentAt = clock.now();
      events = 0;
    },
    recordEvent: () => {
      events += 1;
      if (events === ESTABLISHED_EVENTS) gate.recordAnswer();
    },
    recordComplete: () => {
      if (events < ESTABLISHED_EVENTS) gate.recordAnswer();
    },
    isEstablished: () => events >= ESTABLISHED_EVENTS,
    recordBroken: (reason, check) => recordBroken(reason, check),
    confirmEnd: async (end, hops) => {
      if (end === 'framing') return true;
      const run = { endpoint, address, startedAt, hops };
      const { isComplete, isRunning } = await proveStreamEnd(prober, run, UNPROVEN_END);
      if (!isComplete) await recordBroken(UNPROVEN_END, 'report', isRunning);
      return isComplete;
    },
  };
}
