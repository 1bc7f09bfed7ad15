/**
 * Promise: an accepted configuration comes into force everywhere in time, and never goes back.
 */
import { isDisturbed } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type { Check, SoakRecord, VersionSighting } from '../types/index.js';

function findBackward(sightings: readonly VersionSighting[]): string[] {
  return sightings.flatMap(({ node, version }, index) => {
    const before = sightings[index - 1]?.version ?? version;
    return version < before ? [`${node} went from version ${before} back to ${version}`] : [];
  });
}

function findLate(record: SoakRecord, { node, version, at }: VersionSighting, bound: number) {
  const due = record.writes.filter((write) => write.at + bound < at && write.version > version);
  const [oldest] = due;
  if (!oldest) return [];
  const options = { targets: [node, 'store'], from: oldest.at, until: at };
  if (isDisturbed(record.disturbances, options)) return [];
  return [
    `${node} serves version ${version} ${Math.round(at - oldest.at)} ms after ${oldest.version}`,
  ];
}

/** Each node serves what was accepted last, within the time for that. */
export const checkVersions: Check = {
  promise: 'an accepted configuration is in force in time and never goes back',
  count: ({ versions }) => versions.length,
  find: (record, { forceMilliseconds }) =>
    groupByProcess(record.versions)
      .flatMap((sightings) => [
        ...findBackward(sightings),
        ...sightings.flatMap((sighting) => findLate(record, sighting, forceMilliseconds)),
      ])
      .map((detail) => ({ request: undefined, detail })),
};
