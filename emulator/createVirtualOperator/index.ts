/**
 * Emulated operator of a site: writes the configurations, also again after the store has lost them.
 */
import type { SiteConfiguration } from '../../src/types/site/index.js';
import { STORE_KEYS } from '../createVirtualNodes/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';

/** Emulated operator. */
export interface VirtualOperator {
  /** Writes the next version; while the store is away, as soon as it has returned. */
  readonly changeConfiguration: () => void;
  readonly setStoreAway: (isAway: boolean) => void;
  /** Writes the newest version again, unless it was written since the store returned. */
  readonly repeatConfiguration: () => void;
  /** Returns the number of the newest version that the store accepted. */
  readonly getVersion: () => number;
}

/**
 * Creates an operator, which writes the first version.
 *
 * @param store - the store
 * @param configuration - the configuration, of which only the version changes
 * @returns the operator
 * @example
 * createVirtualOperator(store, configuration).changeConfiguration();
 */
export function createVirtualOperator(
  store: Pick<VirtualStore, 'put'>,
  configuration: Omit<SiteConfiguration, 'version'>,
): VirtualOperator {
  let version = 0;
  let isAway = false;
  let isChangePending = false;
  let hasWrittenSinceReturn = false;
  const write = (): void => {
    store.put(STORE_KEYS.configuration, JSON.stringify({ ...configuration, version }));
    hasWrittenSinceReturn = true;
  };
  const changeConfiguration = (): void => {
    isChangePending = isAway;
    if (isAway) return;
    version += 1;
    write();
  };
  changeConfiguration();
  return {
    changeConfiguration,
    setStoreAway: (next) => {
      isAway = next;
      hasWrittenSinceReturn = false;
      if (!isAway && isChangePending) changeConfiguration();
    },
    repeatConfiguration: () => {
      if (!hasWrittenSinceReturn) write();
    },
    getVersion: () => version,
  };
}
