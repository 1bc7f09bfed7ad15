/**
 * Promises: processes exit in time and without an error when they are stopped, catch their exceptions, and leak no resources.
 */
import { hasFault } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type { Check, ProcessExit, ProcessObservation, SoakRecord } from '../types/index.js';

function isFrozen(record: SoakRecord, { node, askedAt, endedAt }: ProcessExit): boolean {
  const options = { targets: [node], kinds: ['freeze'], from: askedAt, until: endedAt };
  return hasFault(record.disturbances, options);
}

/** Checks that a node that receives a stop signal exits in time with code 0. */
export const checkExits: Check = {
  promise: 'a node that is asked to stop ends in time',
  count: ({ ends }) => ends.length,
  find: (record, { stopMilliseconds }) =>
    record.ends
      .filter((end) => end.isPlanned && !isFrozen(record, end))
      .filter(({ askedAt, endedAt, code }) => endedAt - askedAt > stopMilliseconds || code !== 0)
      .map(({ node, askedAt, endedAt, code }) => ({
        request: undefined,
        detail: `${node} exited ${Math.round(endedAt - askedAt)} ms after the stop signal with code ${String(code)}`,
      })),
};

/** Checks that no node logs an exception that nothing caught: it goes on after one, so that its exit does not tell. */
export const checkInternalErrors: Check = {
  promise: 'a node catches its exceptions',
  count: ({ processes }) => groupByProcess(processes).length,
  find: ({ internalErrors }) =>
    internalErrors.map(({ node, line }) => ({ request: undefined, detail: `${node}: ${line}` })),
};

/** Time after a start in which memory grows to the level that the load needs. */
const WARM_UP_MILLISECONDS = 10_000;

/** Computes the growth of a process's memory since the end of its warm-up, in megabytes. */
function computeMegabyteGrowth(observations: readonly ProcessObservation[]): number {
  const warmAt = (observations[0]?.at ?? 0) + WARM_UP_MILLISECONDS;
  const warm = observations.filter(({ at }) => at >= warmAt);
  return (warm.at(-1)?.megabytes ?? 0) - (warm[0]?.megabytes ?? 0);
}

/** Checks that a process's open files and memory grow by no more than the bounds. */
export const checkLeaks: Check = {
  promise: 'a node keeps its open files and memory',
  count: ({ processes }) => processes.length,
  find: (record, { maximumDescriptorGrowth, maximumMegabyteGrowth }) =>
    groupByProcess(record.processes).flatMap((observations) => {
      const [first] = observations;
      const last = observations.at(-1);
      if (!first || !last) return [];
      const descriptors = last.descriptors - first.descriptors;
      const megabytes = computeMegabyteGrowth(observations);
      if (descriptors <= maximumDescriptorGrowth && megabytes <= maximumMegabyteGrowth) return [];
      const detail = `${last.node}: ${descriptors} open files and ${Math.round(megabytes)} MB more`;
      return [{ request: undefined, detail }];
    }),
};
