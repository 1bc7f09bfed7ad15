/**
 * Queue of gossip updates to disseminate to other nodes.
 */
import type { Fact, Member } from '../../../types/peer/index.js';

/** A record to disseminate. */
export type GossipUpdate =
  | { readonly kind: 'member'; readonly member: Member }
  | { readonly kind: 'fact'; readonly fact: Fact };

/** Updates of one packet. */
export interface UpdateBatch {
  readonly members: Member[];
  readonly facts: Fact[];
}

/** Gossip updates that a node still disseminates. */
export interface UpdateQueue {
  readonly add: (update: GossipUpdate) => void;
  /**
   * Returns updates up to the size of a packet, and counts them as sent. Lower ranks go first; within
   * a rank, the updates sent least often.
   */
  readonly takeBatch: (nodes: number) => UpdateBatch;
  readonly size: () => number;
}

interface PendingUpdate {
  readonly update: GossipUpdate;
  readonly bytes: number;
  /** Order of sending; lower goes first. */
  readonly rank: number;
  sends: number;
}

const PACKET_BYTES = 2_000;
const LOAD_SEND_LIMIT = 3;
const LOAD_PREFIX = 'load/';
const LEAVING_PREFIX = 'leaving/';
const LOAD_RANK = 3;
const SEND_LIMIT_FACTOR = 2;
const MEMBER_BYTES = 160;
const FACT_OVERHEAD_BYTES = 32;

function nameUpdate(update: GossipUpdate): string {
  return update.kind === 'member' ? `member/${update.member.node}` : `fact/${update.fact.key}`;
}

/**
 * Returns the sending order of an update: members, then leaving facts, then other facts, then loads.
 *
 * Loads are sent only 3 times, because the next load replaces one that was lost.
 */
function rankUpdate(update: GossipUpdate): number {
  if (update.kind === 'member') return 0;
  const { key } = update.fact;
  if (key.startsWith(LOAD_PREFIX)) return LOAD_RANK;
  return key.startsWith(LEAVING_PREFIX) ? 1 : 2;
}

function estimateBytes(update: GossipUpdate): number {
  if (update.kind === 'member') return MEMBER_BYTES;
  return update.fact.key.length + update.fact.value.length + FACT_OVERHEAD_BYTES;
}

/**
 * Creates an empty queue of gossip updates.
 *
 * A newer record of the same node or fact replaces the older one. The number of times that an
 * update is sent grows with the logarithm of the number of nodes.
 *
 * @returns the queue
 * @example
 * const updates = createUpdateQueue();
 * updates.add({ kind: 'fact', fact });
 */
export function createUpdateQueue(): UpdateQueue {
  const pending = new Map<string, PendingUpdate>();
  return {
    add: (update) => {
      pending.set(nameUpdate(update), {
        update,
        bytes: estimateBytes(update),
        rank: rankUpdate(update),
        sends: 0,
      });
    },
    takeBatch: (nodes) => {
      const defaultLimit = SEND_LIMIT_FACTOR * Math.ceil(Math.log2(nodes + 1)) + 1;
      const ordered = [...pending.entries()].sort(
        ([, left], [, right]) => left.rank - right.rank || left.sends - right.sends,
      );
      const batch: UpdateBatch = { members: [], facts: [] };
      let bytes = 0;
      for (const [name, entry] of ordered) {
        bytes += entry.bytes;
        if (bytes > PACKET_BYTES) break;
        entry.sends += 1;
        if (entry.sends >= (entry.rank === LOAD_RANK ? LOAD_SEND_LIMIT : defaultLimit))
          pending.delete(name);
        if (entry.update.kind === 'member') batch.members.push(entry.update.member);
        else batch.facts.push(entry.update.fact);
      }
      return batch;
    },
    size: () => pending.size,
  };
}
