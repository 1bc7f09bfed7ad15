/**
 * Promise: an accepted configuration is applied by every node in time, and no node returns to an older version.
 */
import { hasFault } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type { Check, SoakRecord, VersionObservation } from '../types/index.js';

function findRollbacks(observations: readonly VersionObservation[]): string[] {
  return observations.flatMap(({ node, version }, index) => {
    const previous = observations[index - 1]?.version ?? version;
    return version < previous ? [`${node} went from version ${previous} back to ${version}`] : [];
  });
}

function findLateVersions(
  record: SoakRecord,
  { node, version, at }: VersionObservation,
  limitMilliseconds: number,
) {
  const overdue = record.writes.filter(
    (write) => write.at + limitMilliseconds < at && write.version > version,
  );
  const [oldest] = overdue;
  if (!oldest) return [];
  const options = { targets: [node, 'store'], from: oldest.at, until: at };
  if (hasFault(record.disturbances, options)) return [];
  return [
    `${node} serves version ${version} ${Math.round(at - oldest.at)} ms after version ${oldest.version} was accepted`,
  ];
}

/** Checks that each node serves the last accepted version within the time limit. */
export const checkVersions: Check = {
  promise: 'an accepted configuration is in force in time and never goes back',
  count: ({ versions }) => versions.length,
  find: (record, { applyMilliseconds }) =>
    groupByProcess(record.versions)
      .flatMap((observations) => [
        ...findRollbacks(observations),
        ...observations.flatMap((observation) =>
          findLateVersions(record, observation, applyMilliseconds),
        ),
      ])
      .map((detail) => ({ request: undefined, detail })),
};
