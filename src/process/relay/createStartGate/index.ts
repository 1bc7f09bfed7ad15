/**
 * Requests that reach a node before it has a configuration.
 *
 * After a start the configuration comes within a moment, from the store or from another node. A caller
 * that were refused meanwhile would use up one of its few tries, so its request waits, for a short time.
 */
import type { Clock } from '../../../types/clock/index.js';

/** Options of {@link createStartGate}. */
export interface CreateStartGateOptions {
  readonly clock: Pick<Clock, 'schedule'>;
  /** Requests that may wait at the same time. */
  readonly maximumWaiting?: number;
  /** How long a request waits at most, in milliseconds. */
  readonly maximumWaitMilliseconds?: number;
}

/** Gate of one node. */
export interface StartGate {
  /** Resolves when the gate is open, or when a request has waited for as long as it may. */
  readonly wait: (milliseconds: number) => Promise<void>;
  /** Lets all requests pass from now on; true when the gate was closed. */
  readonly open: () => boolean;
  readonly countWaiting: () => number;
}

const MAXIMUM_WAITING = 512;
const MAXIMUM_WAIT_MILLISECONDS = 1_000;

/**
 * Creates a gate, which is closed.
 *
 * @param options - the clock, and bounds in number and in milliseconds
 * @returns the gate
 * @example
 * await createStartGate({ clock }).wait(400);
 */
export function createStartGate(options: CreateStartGateOptions): StartGate {
  const { clock } = options;
  const { maximumWaiting = MAXIMUM_WAITING, maximumWaitMilliseconds = MAXIMUM_WAIT_MILLISECONDS } =
    options;
  const waiting = new Set<() => void>();
  let isOpen = false;
  return {
    countWaiting: () => waiting.size,
    wait: (milliseconds) => {
      if (isOpen || waiting.size >= maximumWaiting) return Promise.resolve();
      return new Promise((resolve) => {
        const pass = (): void => {
          cancelTimer();
          waiting.delete(pass);
          resolve();
        };
        waiting.add(pass);
        const limit = Math.max(0, Math.min(maximumWaitMilliseconds, milliseconds));
        const cancelTimer = clock.schedule(limit, pass);
      });
    },
    open: () => {
      if (isOpen) return false;
      isOpen = true;
      for (const pass of [...waiting]) pass();
      return true;
    },
  };
}
