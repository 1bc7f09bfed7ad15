/**
 * Record of the current run of a stream: how far it has come, and what its end shows about the request.
 */
import type { PathHop } from '../../../types/site/index.js';
import { ESTABLISHED_EVENTS, type CrashCheck } from '../createCrashRecorder/index.js';
import type { RunGate } from '../createRunGate/index.js';
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
}

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
  { clock, endpoints, crashes }: Pick<RelayContext, 'clock' | 'endpoints' | 'crashes'>,
  { caller }: Pick<RelayedRequest, 'caller'>,
  gate: Pick<RunGate, 'listParts' | 'recordAnswer' | 'recordCrash'>,
): RunRecord {
  let endpoint = '';
  let startedAt = 0;
  let sentAt = 0;
  let events = 0;
  return {
    begin: (first) => {
      endpoint = first.endpoint;
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
    recordBroken: async (reason, check) => {
      const { attempt } = caller;
      const parts = gate.listParts();
      const { report, hasCrashed } = await crashes.recordBrokenRun({
        endpoint,
        startedAt,
        attempt,
        parts,
        sentAt,
        events,
        reason,
        check,
      });
      if (report) gate.recordCrash(report);
      return hasCrashed;
    },
  };
}
