/**
 * An empty record of a soak run.
 */
import type { Disturbance, SoakRecord } from '../types/index.js';

/**
 * Creates an empty record.
 *
 * @returns the record, to which observers add
 * @example
 * createRecord().attempts.length; // 0
 */
export function createRecord(): SoakRecord {
  return {
    attempts: [],
    sends: [],
    rests: [],
    disturbances: [],
    writes: [],
    versions: [],
    processes: [],
    ends: [],
    calmAt: undefined,
  };
}

/** Options of {@link isDisturbed}. */
export interface IsDisturbedOptions {
  readonly targets: readonly string[];
  readonly from: number;
  readonly until: number;
  /** Kinds of faults that count; all by default. */
  readonly kinds?: readonly string[];
}

/**
 * Tells whether a fault hit one of some targets within a time.
 *
 * @param disturbances - the faults of the run
 * @param options - whom, and from when until when in milliseconds
 * @returns whether one did
 * @example
 * isDisturbed(record.disturbances, { targets: ['node-1'], from: 0, until: 900 });
 */
export function isDisturbed(
  disturbances: readonly Disturbance[],
  { targets, from, until, kinds }: IsDisturbedOptions,
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
 * Notes a fault for as long as something takes.
 *
 * @param record - where to note it
 * @param now - the clock
 * @param fault - what it is and whom it hits
 * @param act - what goes on meanwhile
 * @returns resolves when it is over
 * @example
 * await noteWhile(record, now, { kind: 'freeze', target: 'node-1' }, act);
 */
export async function noteWhile(
  record: SoakRecord,
  now: () => number,
  fault: Pick<Disturbance, 'kind' | 'target'>,
  act: () => Promise<void>,
): Promise<void> {
  const disturbance: Disturbance = { ...fault, from: now(), until: Infinity };
  record.disturbances.push(disturbance);
  try {
    await act();
  } finally {
    disturbance.until = now();
  }
}
