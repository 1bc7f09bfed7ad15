/**
 * Suspicions against members, until they are refuted or believed.
 */
import type { Member } from '../../../types/peer/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { MemberTable } from '../createMemberTable/index.js';

/** Options of {@link createSuspicions}. */
export interface CreateSuspicionsOptions {
  readonly context: NodeContext;
  readonly members: MemberTable;
  /** Called when a suspicion stood for too long. */
  readonly onDead: (member: Member) => void;
}

/** Suspicions of one node. */
export interface Suspicions {
  /** Gives a suspected member time to refute. */
  readonly start: (member: Member) => void;
  readonly clear: (node: string) => void;
}

const SUSPECT_MILLISECONDS = 4_000;
const FORGET_DEAD_MILLISECONDS = 600_000;

/**
 * Creates the suspicions of one node.
 *
 * @param options - the timers, the members, and what to call
 * @returns the suspicions
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
