/**
 * Operator of a soak run: writes the configurations, also again after the store has lost them.
 */
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import { createConfiguration } from '../createConfiguration/index.js';
import { listOddConfigurations } from '../listOddConfigurations/index.js';
import type { SoakRecord } from '../types/index.js';

/** Options of {@link createOperator}. */
export interface CreateOperatorOptions {
  readonly store: SiteStore;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Time limit of a request in all configurations, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Operator of a run. */
export interface Operator {
  /** Writes the next configuration; while the store is away, as soon as it has returned. */
  readonly changeConfiguration: () => void;
  /** Writes an odd configuration in place of the last one, chosen by a number from 0 to 1, unless the store is away. */
  readonly writeOddConfiguration: (choice: number) => void;
  /** Returns whether the store accepts no writes. */
  readonly isStoreAway: () => boolean;
  readonly setStoreAway: (isAway: boolean) => void;
  /** Writes the last accepted configuration again, unless a later one was written since the store returned. */
  readonly repeatConfiguration: () => void;
}

/**
 * Creates an operator.
 *
 * @param options - store, record, clock, and time limit of requests in milliseconds
 * @returns the operator; it has written nothing
 * @example
 * createOperator({ store, record, now, timeoutMilliseconds: 6_000 }).changeConfiguration();
 */
export function createOperator(options: CreateOperatorOptions): Operator {
  const { store, record, now, timeoutMilliseconds } = options;
  let isAway = false;
  let isChangePending = false;
  let hasChangedSinceReturn = false;
  const write = (version: number): void => {
    store.put('op/config', createConfiguration(version, timeoutMilliseconds));
  };
  const changeConfiguration = (): void => {
    isChangePending = isAway;
    if (isAway) return;
    const version = record.writes.length + 1;
    write(version);
    record.writes.push({ version, at: now() });
    hasChangedSinceReturn = true;
  };
  return {
    changeConfiguration,
    writeOddConfiguration: (choice) => {
      if (isAway) return;
      const odd = listOddConfigurations(timeoutMilliseconds);
      store.put('op/config', odd[Math.floor(choice * odd.length)] ?? '');
    },
    isStoreAway: () => isAway,
    setStoreAway: (next) => {
      isAway = next;
      hasChangedSinceReturn = false;
      if (!isAway && isChangePending) changeConfiguration();
    },
    repeatConfiguration: () => {
      if (!hasChangedSinceReturn) write(record.writes.length);
    },
  };
}
