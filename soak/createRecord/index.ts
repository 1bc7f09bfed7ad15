/**
 * Record of a soak run, and its injected faults.
 */
import type { InjectedFault, SoakRecord } from '../types/index.js';

/**
 * Creates an empty record.
 *
 * @returns the record, to which observers append
 * @example
 * createRecord().attempts.length; // 0
 */
export function createRecord(): SoakRecord {
  return {
    attempts: [],
    sends: [],
    rests: [],
    limits: [],
    crashes: [],
    unfinished: [],
    disturbances: [],
    writes: [],
    versions: [],
    restorations: [],
    departures: [],
    registrations: [],
    processes: [],
    ends: [],
    internalErrors: [],
    deaths: [],
    strays: [],
    calmAt: undefined,
  };
}

/** Options of {@link hasFault}. */
export interface FaultQuery {
  readonly targets: readonly string[];
  readonly from: number;
  readonly until: number;
  /** Kinds of faults to include; all by default. */
  readonly kinds?: readonly string[];
}

/**
 * Returns whether a fault affected one of the given targets within a time span.
 *
 * @param disturbances - injected faults of the run
 * @param options - targets, kinds, and the span in milliseconds
 * @returns true when at least one fault overlaps the span
 * @example
 * hasFault(record.disturbances, { targets: ['node-1'], from: 0, until: 900 });
 */
export function hasFault(
  disturbances: readonly InjectedFault[],
  { targets, from, until, kinds }: FaultQuery,
): boolean {
  return disturbances.some(
    (fault) =>
      targets.includes(fault.target) &&
      (kinds === undefined || kinds.includes(fault.kind)) &&
      fault.from <= until &&
      fault.until >= from,
  );
}

/**
 * Records a fault for the duration of an action.
 *
 * @param record - record to which the fault is added
 * @param now - monotonic clock in milliseconds
 * @param fault - kind and target of the fault
 * @param act - action that causes the fault and resolves when it is over
 * @returns a promise that resolves when the action has ended
 * @example
 * await recordFaultDuring(record, now, { kind: 'freeze', target: 'node-1' }, act);
 */
export async function recordFaultDuring(
  record: SoakRecord,
  now: () => number,
  fault: Pick<InjectedFault, 'kind' | 'target'>,
  act: () => Promise<void>,
): Promise<void> {
  const injectedFault: InjectedFault = { ...fault, from: now(), until: Infinity };
  record.disturbances.push(injectedFault);
  try {
    await act();
  } finally {
    injectedFault.until = now();
  }
}
