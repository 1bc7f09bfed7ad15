/**
 * Promise: a planned stop cuts nothing, and every process ends.
 */
import { isDisturbed } from '../createRecord/index.js';
import type { CallerAttempt, Check, ProcessEnd, SoakRecord } from '../types/index.js';

function listPlanned({ ends }: SoakRecord): ProcessEnd[] {
  return ends.filter(({ isPlanned }) => isPlanned);
}

function isUnderWay({ node, sentAt, endedAt }: CallerAttempt, end: ProcessEnd): boolean {
  return node === end.node && sentAt < end.askedAt && endedAt > end.askedAt;
}

/** Faults of the node or of its link to callers, which explain a cut on their own. */
function isExcused(record: SoakRecord, { node, sentAt, endedAt }: CallerAttempt): boolean {
  const kinds = ['freeze', 'kill', 'link'];
  const options = { targets: [node], kinds, from: sentAt, until: endedAt };
  return isDisturbed(record.disturbances, options);
}

/** Requests that were under way when a node was asked to stop are answered. */
export const checkStops: Check = {
  promise: 'a planned stop cuts no request that was under way',
  count: (record) => {
    const ends = listPlanned(record);
    return record.attempts.filter((attempt) => ends.some((end) => isUnderWay(attempt, end))).length;
  },
  find: (record) => {
    const brokenKinds = new Set(['cut', 'timedOut']);
    return listPlanned(record).flatMap((end) =>
      record.attempts
        .filter((attempt) => isUnderWay(attempt, end) && brokenKinds.has(attempt.outcome))
        // A stream that broke for its endpoint is cut, which is the truth.
        .filter(({ status, kind }) => !(kind === 'stream' && status === 200))
        .filter((attempt) => !isExcused(record, attempt))
        .map(({ request, outcome, endedAt }) => ({
          request,
          detail: `${outcome} ${Math.round(endedAt - end.askedAt)} ms after ${end.node} was asked to stop`,
        })),
    );
  },
};
