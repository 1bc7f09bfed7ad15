/**
 * Promise: processes end when they are asked to, soundly, and leak nothing meanwhile.
 */
import { isDisturbed } from '../createRecord/index.js';
import type { Check, ProcessEnd, ProcessSighting, SoakRecord } from '../types/index.js';

function groupByBirth(sightings: readonly ProcessSighting[]): ProcessSighting[][] {
  const groups = new Map<string, ProcessSighting[]>();
  for (const sighting of sightings) {
    const key = `${sighting.node} ${sighting.birth}`;
    groups.set(key, [...(groups.get(key) ?? []), sighting]);
  }
  return [...groups.values()];
}

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

/** Open files and memory of a process are much the same at the end as at the beginning. */
export const checkLeaks: Check = {
  promise: 'a node keeps its open files and memory',
  count: ({ processes }) => processes.length,
  find: (record, { moreDescriptors, moreMegabytes }) =>
    groupByBirth(record.processes).flatMap((sightings) => {
      const [first] = sightings;
      const last = sightings.at(-1);
      if (!first || !last) return [];
      const descriptors = last.descriptors - first.descriptors;
      const megabytes = last.megabytes - first.megabytes;
      if (descriptors <= moreDescriptors && megabytes <= moreMegabytes) return [];
      const detail = `${last.node}: ${descriptors} open files and ${Math.round(megabytes)} MB more`;
      return [{ request: undefined, detail }];
    }),
};
