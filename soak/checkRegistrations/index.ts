/**
 * Promise: a running node is registered in the store, also after the store has lost the registration.
 */
import { hasFault } from '../createRecord/index.js';
import { groupByProcess } from '../groupItems/index.js';
import type { Check, RegistrationObservation, SoakRecord } from '../types/index.js';

function isExcused(
  record: SoakRecord,
  { node, at }: RegistrationObservation,
  startedAt: number,
  limitMilliseconds: number,
): boolean {
  const from = at - limitMilliseconds;
  const options = { targets: [node, 'store'], from, until: at };
  return startedAt > from || hasFault(record.disturbances, options);
}

/** Checks that a node is registered once neither it nor the store had a fault for the time limit. */
export const checkRegistrations: Check = {
  promise: 'a running node is registered in the store',
  count: ({ registrations }) => registrations.length,
  find: (record, { registerMilliseconds }) =>
    groupByProcess(record.registrations).flatMap((observations) => {
      const startedAt = observations[0]?.at ?? 0;
      const missing = observations.find(
        (observation) =>
          !observation.isRegistered &&
          !isExcused(record, observation, startedAt, registerMilliseconds),
      );
      if (!missing) return [];
      const { node, at } = missing;
      const detail = `${node} was not registered at ${Math.round(at)} ms, ${registerMilliseconds} ms after the last fault`;
      return [{ request: undefined, detail }];
    }),
};
