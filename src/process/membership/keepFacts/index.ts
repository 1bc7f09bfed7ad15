/**
 * Facts that a node has heard, with a digest of those that are kept for nodes that missed them.
 */
import type { Fact } from '../../../types/peer/index.js';
import { hashText } from '../../hashRendezvous/index.js';

/** The facts of one node. */
export interface Facts {
  /** Takes a fact; returns false when it is not newer than the one held. */
  readonly take: (fact: Fact) => boolean;
  /** Facts that a node which missed them has to be told. */
  readonly listKept: () => Fact[];
  /** Digest of the kept facts, the same whatever their order. */
  readonly digest: () => number;
  /** Forgets facts that are too old, by the present time in milliseconds. */
  readonly forgetOld: (now: number) => void;
}

const KEPT_PREFIXES = ['leaving/', 'report/'];
const PASSED_FACT_MILLISECONDS = 60_000;
const KEPT_FACT_MILLISECONDS = 86_400_000;

function isKept(fact: Fact): boolean {
  return KEPT_PREFIXES.some((prefix) => fact.key.startsWith(prefix));
}

function digestFact(fact: Fact): number {
  return isKept(fact) ? hashText(`${fact.key}/${fact.version.toString()}`) : 0;
}

/**
 * Creates an empty set of facts.
 *
 * @returns the facts
 * @example
 * createFacts().take({ key: 'load/engine-1', version: 1, value: '4' }); // true
 */
export function createFacts(): Facts {
  const facts = new Map<string, Fact>();
  let digest = 0;
  return {
    take: (fact) => {
      const present = facts.get(fact.key);
      if (present && present.version >= fact.version) return false;
      if (present) digest ^= digestFact(present);
      digest ^= digestFact(fact);
      facts.set(fact.key, fact);
      return true;
    },
    listKept: () => [...facts.values()].filter(isKept),
    digest: () => digest,
    forgetOld: (now) => {
      for (const fact of facts.values()) {
        const longest = isKept(fact) ? KEPT_FACT_MILLISECONDS : PASSED_FACT_MILLISECONDS;
        if (now - fact.version < longest) continue;
        facts.delete(fact.key);
        digest ^= digestFact(fact);
      }
    },
  };
}
