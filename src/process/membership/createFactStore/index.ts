/**
 * Store of received facts, with a digest of those that are retained for nodes that missed them.
 */
import type { Fact } from '../../../types/peer/index.js';
import { hashText } from '../../hashRendezvous/index.js';

/** Fact store of one node. */
export interface FactStore {
  /** Stores a fact; returns false when it is not newer than the stored one. */
  readonly put: (fact: Fact) => boolean;
  /** Facts that are sent to a node that missed them. */
  readonly listRetained: () => Fact[];
  /** Digest of the retained facts, independent of their order. */
  readonly digest: () => number;
  /** Removes expired facts; `now` is in milliseconds. */
  readonly removeExpired: (now: number) => void;
}

const RETAINED_PREFIXES = ['leaving/', 'report/'];
const TRANSIENT_FACT_MILLISECONDS = 60_000;
const RETAINED_FACT_MILLISECONDS = 86_400_000;

function isRetained(fact: Fact): boolean {
  return RETAINED_PREFIXES.some((prefix) => fact.key.startsWith(prefix));
}

function digestFact(fact: Fact): number {
  return isRetained(fact) ? hashText(`${fact.key}/${fact.version.toString()}`) : 0;
}

/**
 * Creates an empty fact store.
 *
 * @returns the store
 * @example
 * createFactStore().put({ key: 'load/engine-1', version: 1, value: '4' }); // true
 */
export function createFactStore(): FactStore {
  const facts = new Map<string, Fact>();
  let digest = 0;
  return {
    put: (fact) => {
      const present = facts.get(fact.key);
      if (present && present.version >= fact.version) return false;
      if (present) digest ^= digestFact(present);
      digest ^= digestFact(fact);
      facts.set(fact.key, fact);
      return true;
    },
    listRetained: () => [...facts.values()].filter(isRetained),
    digest: () => digest,
    removeExpired: (now) => {
      for (const fact of facts.values()) {
        const maximumAge = isRetained(fact)
          ? RETAINED_FACT_MILLISECONDS
          : TRANSIENT_FACT_MILLISECONDS;
        if (now - fact.version < maximumAge) continue;
        facts.delete(fact.key);
        digest ^= digestFact(fact);
      }
    },
  };
}
