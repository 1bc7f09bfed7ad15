/**
 * Promise: an accepted configuration is applied by every node in time, and no node returns to an older version.
 */
import { hasFault } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type {
  Check,
  ConfigurationWrite,
  SoakBounds,
  SoakRecord,
  VersionObservation,
} from '../types/index.js';

/** Kind of fault that excuses no late version: nodes know the version, or the operator writes it again. */
const RESTORATION = 'restored';

function findRollbacks(observations: readonly VersionObservation[]): string[] {
  return observations.flatMap(({ node, version }, index) => {
    const previous = observations[index - 1]?.version ?? version;
    return version < previous ? [`${node} went from version ${previous} back to ${version}`] : [];
  });
}

/**
 * Returns the time from which nodes have to apply a version: its acceptance, or the time at which the operator wrote it
 * again when a restoration of the store lost it before nodes had to know it.
 */
function findApplyStart(
  { restorations }: SoakRecord,
  write: ConfigurationWrite,
  noticeMilliseconds: number,
): number {
  return restorations.reduce((start, { copiedAt, awayAt, rewrittenAt }) => {
    const isLost = copiedAt < start && start < rewrittenAt;
    return isLost && awayAt - start < noticeMilliseconds ? rewrittenAt : start;
  }, write.at);
}

function findLateVersions(
  record: SoakRecord,
  { node, version, at }: VersionObservation,
  { applyMilliseconds, noticeMilliseconds }: SoakBounds,
) {
  const oldest = record.writes.find(
    (write) =>
      write.version > version &&
      findApplyStart(record, write, noticeMilliseconds) + applyMilliseconds < at,
  );
  if (!oldest) return [];
  const excusing = record.disturbances.filter(({ kind }) => kind !== RESTORATION);
  const options = { targets: [node, 'store'], from: at - applyMilliseconds, until: at };
  if (hasFault(excusing, options)) return [];
  return [
    `${node} serves version ${version} ${Math.round(at - oldest.at)} ms after version ${oldest.version} was accepted`,
  ];
}

/** Checks that each node serves the last accepted version within the time limit. */
export const checkVersions: Check = {
  promise: 'an accepted configuration is in force in time and never goes back',
  count: ({ versions }) => versions.length,
  find: (record, bounds) =>
    groupByProcess(record.versions)
      .flatMap((observations) => [
        ...findRollbacks(observations),
        ...observations.flatMap((observation) => findLateVersions(record, observation, bounds)),
      ])
      .map((detail) => ({ request: undefined, detail })),
};
