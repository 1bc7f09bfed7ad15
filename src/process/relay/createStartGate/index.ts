/**
 * Gate at which requests wait that reach a node shortly after its start.
 *
 * One gate opens with the first configuration, another one when the known endpoints host all layers.
 * The store or another node sends both shortly after the start. A refusal would use up one of the
 * caller's few attempts, so requests wait for a limited time instead.
 */
import type { Clock } from '../../../types/clock/index.js';

/** Options of {@link createStartGate}. */
export interface CreateStartGateOptions {
  readonly clock: Pick<Clock, 'schedule'>;
  /** Maximum number of requests that wait at the same time. */
  readonly maximumWaiting?: number;
  /** Maximum time for which a request waits, in milliseconds. */
  readonly maximumWaitMilliseconds?: number;
}

/** Start gate of one node. */
export interface StartGate {
  /** Resolves when the gate opens or the wait limit ends; immediately when too many requests wait. */
  readonly wait: (milliseconds: number) => Promise<void>;
  /** Opens the gate permanently; returns true when it was closed. */
  readonly open: () => boolean;
  readonly countWaiting: () => number;
}

const MAXIMUM_WAITING = 512;
const MAXIMUM_WAIT_MILLISECONDS = 1_000;

/**
 * Creates a closed gate.
 *
 * @param options - the clock, and the limits in requests and in milliseconds
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
