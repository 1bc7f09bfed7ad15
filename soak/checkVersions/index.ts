/**
 * Promise: an accepted configuration is applied by every node in time, and no node returns to an older version.
 */
import { hasFault } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type {
  Check,
  ConfigurationWrite,
  InjectedFault,
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

/** Time limit of one kind of node, and what excuses a late version. */
interface VersionLimit {
  readonly applyMilliseconds: number;
  /** Time for which a fault excuses a late version, in milliseconds. */
  readonly excusedMilliseconds: number;
  readonly excusing: readonly InjectedFault[];
  readonly noticeMilliseconds: number;
}

function findLateVersions(
  record: SoakRecord,
  { node, version, at }: VersionObservation,
  { applyMilliseconds, excusedMilliseconds, excusing, noticeMilliseconds }: VersionLimit,
) {
  const oldest = record.writes.find(
    (write) =>
      write.version > version &&
      findApplyStart(record, write, noticeMilliseconds) + applyMilliseconds < at,
  );
  if (!oldest) return [];
  const options = { targets: [node, 'store'], from: at - excusedMilliseconds, until: at };
  if (hasFault(excusing, options)) return [];
  return [
    `${node} serves version ${version} ${Math.round(at - oldest.at)} ms after version ${oldest.version} was accepted`,
  ];
}

/** Lists the limits: of nodes without faults since the acceptance, and of nodes in contact. */
function listLimits({ disturbances }: SoakRecord, bounds: SoakBounds): VersionLimit[] {
  const { applyMilliseconds, contactApplyMilliseconds, contactMilliseconds, noticeMilliseconds } =
    bounds;
  return [
    {
      applyMilliseconds,
      excusedMilliseconds: applyMilliseconds,
      excusing: disturbances.filter(({ kind }) => kind !== RESTORATION),
      noticeMilliseconds,
    },
    {
      applyMilliseconds: contactApplyMilliseconds,
      excusedMilliseconds: contactMilliseconds,
      excusing: disturbances,
      noticeMilliseconds,
    },
  ];
}

/** Checks that each node serves the last accepted version within the time limits. */
export const checkVersions: Check = {
  promise: 'an accepted configuration is in force in time and never goes back',
  count: ({ versions }) => versions.length,
  find: (record, bounds) => {
    const limits = listLimits(record, bounds);
    return groupByProcess(record.versions)
      .flatMap((observations) => [
        ...findRollbacks(observations),
        ...observations.flatMap((observation) =>
          limits.flatMap((limit) => findLateVersions(record, observation, limit)),
        ),
      ])
      .map((detail) => ({ request: undefined, detail }));
  },
};
