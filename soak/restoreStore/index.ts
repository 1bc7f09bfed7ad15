/**
 * Restores the store of a soak run from an older copy; the operator and the endpoints then write theirs again.
 */
import { sleep } from '../../bench/sleep/index.js';
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import type { Operator } from '../createOperator/index.js';
import { recordFaultDuring } from '../createRecord/index.js';
import type { SoakEndpoint } from '../createSoakEndpoint/index.js';
import type { SoakRecord } from '../types/index.js';

/** Options of {@link restoreStore}. */
export interface RestoreStoreOptions {
  readonly store: SiteStore;
  readonly record: SoakRecord;
  readonly now: () => number;
  readonly operator: Pick<Operator, 'setStoreAway' | 'repeatConfiguration'>;
  /** Endpoints that write their registrations again. */
  readonly writers: readonly Pick<SoakEndpoint, 'repeatRegistration'>[];
  readonly random: () => number;
  /** Time for which the store is away, in milliseconds. */
  readonly awayMilliseconds: number;
  /** Age of the copy when the store goes away, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Maximum time after the store's return until its writers have written theirs again. */
export const REWRITE_MILLISECONDS = 2_000;

/**
 * Takes the store away for a time, and brings it back in the state that it had before.
 *
 * @param options - store, its writers, time away in milliseconds, and age of the copy in milliseconds
 * @returns a promise that resolves when all writers have written again
 * @example
 * await restoreStore({ ...context, awayMilliseconds: 2_000, ageMilliseconds: 9_000 });
 */
export function restoreStore(options: RestoreStoreOptions): Promise<void> {
  const { store, record, now, operator, writers, random } = options;
  const { awayMilliseconds, ageMilliseconds } = options;
  return recordFaultDuring(record, now, { kind: 'restored', target: 'store' }, async () => {
    const awayAt = now();
    operator.setStoreAway(true);
    store.faults.add({ kind: 'down' });
    store.dropConnections();
    await sleep(awayMilliseconds);
    // What was written meanwhile, past the stand-in's fault, is lost too.
    store.restore(ageMilliseconds + now() - awayAt);
    store.faults.clear();
    operator.setStoreAway(false);
    const returnedAt = now();
    const restoration = { copiedAt: awayAt - ageMilliseconds, awayAt, returnedAt };
    const repeatConfiguration = async (): Promise<void> => {
      await sleep(random() * REWRITE_MILLISECONDS);
      operator.repeatConfiguration();
      record.restorations.push({ ...restoration, rewrittenAt: now() });
    };
    await Promise.all([
      repeatConfiguration(),
      ...writers.map((writer) => writer.repeatRegistration(random() * REWRITE_MILLISECONDS)),
    ]);
  });
}
