/**
 * Observes which running nodes have a registration in the store.
 */
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import type { SoakNode } from '../createNodes/index.js';
import type { SoakRecord } from '../types/index.js';

/** Options of {@link watchRegistrations}. */
export interface WatchRegistrationsOptions {
  readonly nodes: readonly Pick<SoakNode, 'name' | 'getStartNumber' | 'isRunning'>[];
  readonly store: Pick<SiteStore, 'read'>;
  readonly record: SoakRecord;
  readonly now: () => number;
}

const PAUSE_MILLISECONDS = 500;
const KEY_PREFIX = 'nodes/';

/**
 * Observes the nodes' registrations until it is stopped.
 *
 * @param options - nodes, store, record and clock
 * @returns a function that stops the observations
 * @example
 * const stop = watchRegistrations({ nodes, store, record, now });
 */
export function watchRegistrations(options: WatchRegistrationsOptions): () => void {
  const { nodes, store, record, now } = options;
  const timer = setInterval(() => {
    for (const node of nodes) {
      if (!node.isRunning()) continue;
      const isRegistered = store.read(`${KEY_PREFIX}${node.name}`) !== undefined;
      const birth = node.getStartNumber();
      record.registrations.push({ node: node.name, birth, at: now(), isRegistered });
    }
  }, PAUSE_MILLISECONDS);
  return () => {
    clearInterval(timer);
  };
}
