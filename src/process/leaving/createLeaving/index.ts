/**
 * Graceful shutdown of a node.
 */
import type { NodeContext } from '../../node/createContext/index.js';

/** Options of {@link createLeaving}. Durations are in milliseconds. */
export interface CreateLeavingOptions {
  readonly context: NodeContext;
  /** Time for which callers may use an address answer. */
  readonly addressExpiryMilliseconds: number;
  /** Longest drain; what still runs then is interrupted. */
  readonly drainLimitMilliseconds: number;
  /** Work that has to end before the node may exit. */
  readonly countPendingWork: () => number;
  readonly onLeave: () => void;
  readonly interruptAll: () => void;
}

/** The shutdown of one node. */
export interface Leaving {
  readonly begin: (reason: string) => void;
  readonly isLeaving: () => boolean;
}

/** Exit code after a drain that reached its limit. */
const DRAIN_LIMIT_EXIT_CODE = 3;
const CHECK_INTERVAL_MILLISECONDS = 50;
const EXIT_DELAY_MILLISECONDS = 200;

/**
 * Creates the shutdown of one node.
 *
 * A leaving node first leaves the address answers and gossip, serves until every answer that names
 * it has expired and its last work has ended, then exits with 0. Further requests to leave change
 * nothing. At the drain limit the remaining requests get a final answer and the exit code is 3.
 *
 * @param options - the context, the bounds and what to call
 * @returns the shutdown
 * @example
 * createLeaving({ context, answersExpireMilliseconds: 30_000, drainLimitMilliseconds: 600_000, countWork, onLeave, interruptAll });
 */
export function createLeaving(options: CreateLeavingOptions): Leaving {
  const { context } = options;
  let startedAt = -1;

  const exit = (code: number): void => {
    context.log('info', 'node-exits', { code });
    context.schedule(EXIT_DELAY_MILLISECONDS, () => {
      context.emit({ kind: 'exit', code });
    });
  };
  const check = (): void => {
    const elapsed = context.now() - startedAt;
    if (elapsed >= options.drainLimitMilliseconds) {
      options.interruptAll();
      exit(DRAIN_LIMIT_EXIT_CODE);
      return;
    }
    if (elapsed >= options.addressExpiryMilliseconds && options.countPendingWork() === 0) {
      exit(0);
      return;
    }
    context.schedule(CHECK_INTERVAL_MILLISECONDS, check);
  };

  return {
    begin: (reason) => {
      if (startedAt >= 0) {
        context.log('info', 'already-leaving', { reason });
        return;
      }
      startedAt = context.now();
      context.log('info', 'node-leaving', { reason });
      options.onLeave();
      check();
    },
    isLeaving: () => startedAt >= 0,
  };
}
