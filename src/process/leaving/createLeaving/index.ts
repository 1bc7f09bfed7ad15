/**
 * Graceful shutdown of a node.
 */
import type { NodeContext } from '../../node/createContext/index.js';

/** Options of {@link createLeaving}. Durations are in milliseconds. */
export interface CreateLeavingOptions {
  readonly context: NodeContext;
  /** Time for which callers may use an address response. */
  readonly addressExpiryMilliseconds: number;
  /** Maximum duration of the drain; requests that still run then are interrupted. */
  readonly drainLimitMilliseconds: number;
  /** Number of requests, calls and journal writes that must end before the node may exit. */
  readonly countPendingWork: () => number;
  readonly onLeave: () => void;
  readonly interruptAll: () => void;
}

/** Control of a node's graceful shutdown. */
export interface Leaving {
  readonly begin: (reason: string) => void;
  readonly isLeaving: () => boolean;
  /** Returns true once the exit is certain: requests that are admitted then may not end before it. */
  readonly isExiting: () => boolean;
}

/** Exit code of a drain that reached its limit. */
const DRAIN_LIMIT_EXIT_CODE = 3;
const CHECK_INTERVAL_MILLISECONDS = 50;
/** Delay before the exit in which the last messages and log lines are sent. */
const EXIT_DELAY_MILLISECONDS = 200;

/**
 * Creates the control of a node's graceful shutdown.
 *
 * A leaving node is first removed from address responses and announces its state by gossip. It
 * serves until every address response that names it has expired and its pending work has ended, and
 * then exits with code 0; between the last check and the exit it admits no requests. Further requests
 * to leave have no effect. At the drain limit the remaining requests get a final response and the exit
 * code is 3.
 *
 * @param options - the context, the limits and the callbacks
 * @returns the control; `begin` starts the shutdown
 * @example
 * createLeaving({ context, addressExpiryMilliseconds: 30_000, drainLimitMilliseconds: 600_000, countPendingWork, onLeave, interruptAll });
 */
export function createLeaving(options: CreateLeavingOptions): Leaving {
  const { context } = options;
  let startedAt = -1;
  let isExiting = false;

  const exit = (code: number): void => {
    isExiting = true;
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
    isExiting: () => isExiting,
  };
}
