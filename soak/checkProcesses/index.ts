/**
 * Promise: processes end when they are asked to, soundly, and leak nothing meanwhile.
 */
import { isDisturbed } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type { Check, ProcessEnd, ProcessSighting, SoakRecord } from '../types/index.js';

function isFrozen(record: SoakRecord, { node, askedAt, endedAt }: ProcessEnd): boolean {
  const options = { targets: [node], kinds: ['freeze'], from: askedAt, until: endedAt };
  return isDisturbed(record.disturbances, options);
}

/** A node that is asked to stop ends in time and says that all went well. */
export const checkEnds: Check = {
  promise: 'a node that is asked to stop ends in time',
  count: ({ ends }) => ends.length,
  find: (record, { stopMilliseconds }) =>
    record.ends
      .filter((end) => end.isPlanned && !isFrozen(record, end))
      .filter(({ askedAt, endedAt, code }) => endedAt - askedAt > stopMilliseconds || code !== 0)
      .map(({ node, askedAt, endedAt, code }) => ({
        request: undefined,
        detail: `${node} ended after ${Math.round(endedAt - askedAt)} ms with code ${String(code)}`,
      })),
};

/** Time in which the memory of a process that has just started grows to what its work takes. */
const WARM_UP_MILLISECONDS = 10_000;

/** Memory that a process has taken since it warmed up, in megabytes. */
function countMoreMegabytes(sightings: readonly ProcessSighting[]): number {
  const warmAt = (sightings[0]?.at ?? 0) + WARM_UP_MILLISECONDS;
  const warm = sightings.filter(({ at }) => at >= warmAt);
  return (warm.at(-1)?.megabytes ?? 0) - (warm[0]?.megabytes ?? 0);
}

/** Open files and memory of a process are much the same at the end as at the beginning. */
export const checkLeaks: Check = {
  promise: 'a node keeps its open files and memory',
  count: ({ processes }) => processes.length,
  find: (record, { moreDescriptors, moreMegabytes }) =>
    groupByProcess(record.processes).flatMap((sightings) => {
      const [first] = sightings;
      const last = sightings.at(-1);
      if (!first || !last) return [];
      const descriptors = last.descriptors - first.descriptors;
      const megabytes = countMoreMegabytes(sightings);
      if (descriptors <= moreDescriptors && megabytes <= moreMegabytes) return [];
      const detail = `${last.node}: ${descriptors} open files and ${Math.round(megabytes)} MB more`;
      return [{ request: undefined, detail }];
    }),
};
