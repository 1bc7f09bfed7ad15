/**
 * Suspicions of failed members, until they are refuted or confirmed.
 */
import type { Member } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { MemberTable } from '../createMemberTable/index.js';

/** Options of {@link createSuspicions}. */
export interface CreateSuspicionsOptions {
  readonly context: NodeContext;
  readonly members: MemberTable;
  /** Called when a suspicion was not refuted in time. */
  readonly onDead: (member: Member) => void;
}

/** Timers of the members that a node suspects to have failed. */
export interface Suspicions {
  /** Starts the time within which a suspected member can refute the suspicion. */
  readonly start: (member: Member) => void;
  readonly clear: (node: string) => void;
}

const SUSPECT_MILLISECONDS = 4_000;
const FORGET_DEAD_MILLISECONDS = 600_000;

/**
 * Creates the timers of the members that a node suspects to have failed.
 *
 * A member that does not refute a suspicion within 4 s is reported as dead, and is removed 10 min
 * later.
 *
 * @param options - the context, the members, and the callback for dead members
 * @returns the timers
 * @example
 * createSuspicions({ context, members, onDead }).start(member);
 */
export function createSuspicions(options: CreateSuspicionsOptions): Suspicions {
  const { context, members, onDead } = options;
  const timers = new Map<string, string>();
  const clear = (node: string): void => {
    const timer = timers.get(node);
    if (timer === undefined) return;
    context.cancel(timer);
    timers.delete(node);
  };
  const removeDead = (node: string): void => {
    if (members.find(node)?.state === 'dead') members.remove(node);
  };
  return {
    clear,
    start: (member) => {
      clear(member.node);
      const timer = context.schedule(SUSPECT_MILLISECONDS, () => {
        timers.delete(member.node);
        const present = members.find(member.node);
        if (present?.state !== 'suspect' || present.incarnation !== member.incarnation) return;
        onDead(present);
        context.schedule(FORGET_DEAD_MILLISECONDS, () => {
          removeDead(member.node);
        });
      });
      timers.set(member.node, timer);
    },
  };
}
