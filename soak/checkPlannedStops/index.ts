/**
 * Promise: a planned stop of a node interrupts no request.
 */
import { hasFault } from '../createRecord/index.js';
import type { CallerAttempt, Check, ProcessExit, SoakRecord } from '../types/index.js';

function listPlannedStops({ ends }: SoakRecord): ProcessExit[] {
  return ends.filter(({ isPlanned }) => isPlanned);
}

function isInProgress({ node, sentAt, endedAt }: CallerAttempt, end: ProcessExit): boolean {
  return node === end.node && sentAt < end.askedAt && endedAt > end.askedAt;
}

/** Returns whether a fault of the node or of its link to callers explains the interruption. */
function isExcused(record: SoakRecord, { node, sentAt, endedAt }: CallerAttempt): boolean {
  const kinds = ['freeze', 'kill', 'link'];
  const options = { targets: [node], kinds, from: sentAt, until: endedAt };
  return hasFault(record.disturbances, options);
}

/** Checks that requests that were in progress when a node received its stop signal are answered. */
export const checkPlannedStops: Check = {
  promise: 'a planned stop cuts no request that was under way',
  count: (record) => {
    const ends = listPlannedStops(record);
    return record.attempts.filter((attempt) => ends.some((end) => isInProgress(attempt, end)))
      .length;
  },
  find: (record) => {
    const failedOutcomes = new Set(['cut', 'timedOut']);
    return listPlannedStops(record).flatMap((end) =>
      record.attempts
        .filter((attempt) => isInProgress(attempt, end) && failedOutcomes.has(attempt.outcome))
        // A stream whose endpoint failed is correctly cut off, so it is no violation.
        .filter(({ status, kind }) => !(kind === 'stream' && status === 200))
        .filter((attempt) => !isExcused(record, attempt))
        .map(({ request, outcome, endedAt }) => ({
          request,
          detail: `${outcome} ${Math.round(endedAt - end.askedAt)} ms after the stop signal to ${end.node}`,
        })),
    );
  },
};
