/**
 * Rumors: records on their way to the other nodes.
 */
import type { Fact, Member } from '../../../types/peer/index.js';

/** A record to spread. */
export type Rumor =
  | { readonly kind: 'member'; readonly member: Member }
  | { readonly kind: 'fact'; readonly fact: Fact };

/** What one packet carries. */
export interface RumorBatch {
  readonly members: Member[];
  readonly facts: Fact[];
}

/** The rumors that a node still spreads. */
export interface Rumors {
  readonly add: (rumor: Rumor) => void;
  /** Takes the rumors sent least often, up to the size of a packet. */
  readonly take: (nodes: number) => RumorBatch;
  readonly size: () => number;
}

interface Pending {
  readonly rumor: Rumor;
  readonly bytes: number;
  /** Order of sending; lower goes first. */
  readonly rank: number;
  sends: number;
}

const PACKET_BYTES = 2_000;
const LOAD_SENDS = 3;
const LOAD_PREFIX = 'load/';
const LEAVING_PREFIX = 'leaving/';
const LOAD_RANK = 3;
const SENDS_FACTOR = 2;
const MEMBER_BYTES = 160;
const FACT_OVERHEAD_BYTES = 32;

function nameRumor(rumor: Rumor): string {
  return rumor.kind === 'member' ? `member/${rumor.member.node}` : `fact/${rumor.fact.key}`;
}

/**
 * Members go first, then departures, then other facts. Loads go last and are sent a few times only:
 * the next one makes up for a lost one.
 */
function rankRumor(rumor: Rumor): number {
  if (rumor.kind === 'member') return 0;
  const { key } = rumor.fact;
  if (key.startsWith(LOAD_PREFIX)) return LOAD_RANK;
  return key.startsWith(LEAVING_PREFIX) ? 1 : 2;
}

function estimateBytes(rumor: Rumor): number {
  if (rumor.kind === 'member') return MEMBER_BYTES;
  return rumor.fact.key.length + rumor.fact.value.length + FACT_OVERHEAD_BYTES;
}

/**
 * Creates an empty set of rumors.
 *
 * A newer record of the same node or fact replaces the older one. Each rumor is sent a number of
 * times that grows with the logarithm of the number of nodes.
 *
 * @returns the rumors
 * @example
 * const rumors = createRumors();
 * rumors.add({ kind: 'fact', fact });
 */
export function createRumors(): Rumors {
  const pending = new Map<string, Pending>();
  return {
    add: (rumor) => {
      pending.set(nameRumor(rumor), {
        rumor,
        bytes: estimateBytes(rumor),
        rank: rankRumor(rumor),
        sends: 0,
      });
    },
    take: (nodes) => {
      const usualLimit = SENDS_FACTOR * Math.ceil(Math.log2(nodes + 1)) + 1;
      const ordered = [...pending.entries()].sort(
        ([, left], [, right]) => left.rank - right.rank || left.sends - right.sends,
      );
      const batch: RumorBatch = { members: [], facts: [] };
      let bytes = 0;
      for (const [name, entry] of ordered) {
        bytes += entry.bytes;
        if (bytes > PACKET_BYTES) break;
        entry.sends += 1;
        if (entry.sends >= (entry.rank === LOAD_RANK ? LOAD_SENDS : usualLimit))
          pending.delete(name);
        if (entry.rumor.kind === 'member') batch.members.push(entry.rumor.member);
        else batch.facts.push(entry.rumor.fact);
      }
      return batch;
    },
    size: () => pending.size,
  };
}
