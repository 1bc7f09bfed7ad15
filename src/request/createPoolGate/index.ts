/**
 * Admission to one pool of endpoints: a fair queue in front of a concurrency limit.
 */
import {
  adaptLimit,
  createConcurrencyLimit,
  type ConcurrencyLimit,
} from '../../connection/limitConcurrency/index.js';
import { createFairQueue, type QueuedItem } from '../createFairQueue/index.js';

/** A request that asks to be admitted. Times are in milliseconds. */
export interface GateItem extends QueuedItem {
  readonly queuedAt: number;
  readonly deadlineAt: number;
  /** Starts the request. */
  readonly start: () => void;
  /** Refuses the request; the parameter says when to come back, in milliseconds. */
  readonly refuse: (retryAfterMilliseconds: number) => void;
}

/** Options of {@link createPoolGate}. */
export interface CreatePoolGateOptions {
  readonly initialLimit?: number;
  readonly minimumLimit?: number;
  readonly maximumLimit?: number;
  readonly maximumQueue?: number;
  /** Latency above the base that is accepted, as a factor. */
  readonly tolerance?: number;
}

/** Admission to one pool. */
export interface PoolGate {
  readonly offer: (item: GateItem, now: number) => void;
  readonly abandon: (id: string) => void;
  readonly release: (cost: number, startedAt: number, now: number) => void;
  readonly observe: (latencyMilliseconds: number) => void;
  readonly describe: () => {
    readonly limit: number;
    readonly inFlight: number;
    readonly waiting: number;
  };
}

const RATE_WEIGHT = 0.05;
const LEAST_RETRY_MILLISECONDS = 250;

/**
 * Creates the admission to one pool.
 *
 * An item starts at once below the limit and waits its fair turn above it. It is refused on arrival
 * when the work before it cannot end by its deadline, and on its turn when too little time is left.
 *
 * @param options - bounds of the limit and of the queue
 * @returns the gate
 * @example
 * const gate = createPoolGate({ initialLimit: 64 });
 */
export function createPoolGate(options: CreatePoolGateOptions = {}): PoolGate {
  const {
    initialLimit = 64,
    minimumLimit = 4,
    maximumLimit = 4_096,
    maximumQueue = 4_096,
    tolerance = 2,
  } = options;
  const queue = createFairQueue<GateItem>();
  let state: ConcurrencyLimit = createConcurrencyLimit(initialLimit);
  let inFlight = 0;
  /** Work that one admitted request completes in a millisecond, in tokens; 0 until measured. */
  let costPerMillisecond = 0;
  let holdMilliseconds = 0;

  const estimateWait = (): number => {
    if (costPerMillisecond === 0) return 0;
    return queue.waitingCost() / (costPerMillisecond * Math.max(1, Math.floor(state.limit)));
  };
  const canEnd = (item: GateItem, wait: number, now: number): boolean =>
    now + wait + holdMilliseconds * 0.5 <= item.deadlineAt;

  const dispatch = (now: number): void => {
    while (inFlight < Math.floor(state.limit)) {
      const item = queue.pop();
      if (!item) return;
      if (!canEnd(item, 0, now)) {
        item.refuse(Math.max(LEAST_RETRY_MILLISECONDS, estimateWait()));
        continue;
      }
      inFlight += 1;
      item.start();
    }
  };

  return {
    offer: (item, now) => {
      const wait = inFlight < Math.floor(state.limit) ? 0 : estimateWait();
      if (queue.size() >= maximumQueue || !canEnd(item, wait, now)) {
        item.refuse(Math.max(LEAST_RETRY_MILLISECONDS, wait));
        return;
      }
      queue.push(item);
      dispatch(now);
    },
    abandon: (id) => {
      queue.remove(id);
    },
    release: (cost, startedAt, now) => {
      inFlight = Math.max(0, inFlight - 1);
      const held = Math.max(1, now - startedAt);
      const rate = cost / held;
      holdMilliseconds += (held - holdMilliseconds) * RATE_WEIGHT;
      costPerMillisecond =
        costPerMillisecond === 0
          ? rate
          : costPerMillisecond + RATE_WEIGHT * (rate - costPerMillisecond);
      dispatch(now);
    },
    observe: (latencyMilliseconds) => {
      state = adaptLimit({
        state,
        latencyMilliseconds,
        inFlight,
        tolerance,
        minimum: minimumLimit,
        maximum: maximumLimit,
      });
    },
    describe: () => ({ limit: state.limit, inFlight, waiting: queue.size() }),
  };
}
