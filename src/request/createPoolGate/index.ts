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

/** Options of {@link PoolGate.release}. Times are in milliseconds. */
export interface ReleaseOptions {
  readonly flow: string;
  readonly cost: number;
  readonly startedAt: number;
  readonly now: number;
  readonly isWhole: boolean;
}

/** Admission to one pool. */
export interface PoolGate {
  readonly offer: (item: GateItem, now: number) => void;
  readonly abandon: (id: string) => void;
  /** Ends an admitted request; only one that was answered whole counts for the estimates. */
  readonly release: (options: ReleaseOptions) => void;
  /** Takes the slowdown of a running request: its time for a token over that without load. */
  readonly observe: (slowdown: number) => void;
  /** Moves the limit half-way to that of a peer, when both are in full use. */
  readonly shareLimit: (peerLimit: number) => void;
  readonly describe: () => {
    readonly limit: number;
    readonly inFlight: number;
    readonly waiting: number;
  };
}

const RATE_WEIGHT = 0.05;
const RATE_WINDOW_MILLISECONDS = 500;
const WINDOW_WEIGHT = 0.3;

/** Running requests over the limit that are allowed to flows without one. */
const RESERVE_FACTOR = 1.25;

/** Part of the usual time of a request that has to be left before its deadline. */
const HOLD_MARGIN = 1.2;

const LEAST_RETRY_MILLISECONDS = 250;

/**
 * Creates the admission to one pool.
 *
 * An item starts at once below the limit and waits its fair turn above it; a flow that has nothing
 * running may go a quarter above the limit, so that a small account does not wait behind a large one. It is refused on arrival
 * when the work before it cannot end by its deadline, and on its turn when too little time is left.
 *
 * @param options - bounds of the limit and of the queue
 * @returns the gate
 * @example
 * const gate = createPoolGate({ initialLimit: 64 });
 */
export function createPoolGate(options: CreatePoolGateOptions = {}): PoolGate {
  const {
    initialLimit = 16,
    minimumLimit = 4,
    maximumLimit = 4_096,
    maximumQueue = 4_096,
    tolerance = 2,
  } = options;
  const queue = createFairQueue<GateItem>();
  let state: ConcurrencyLimit = createConcurrencyLimit(initialLimit);
  /** Running requests by flow. */
  const running = new Map<string, number>();
  let inFlight = 0;
  /** Work that the pool completes in a millisecond, in tokens; 0 until measured. */
  let costPerMillisecond = 0;
  let servedCost = 0;
  let servedSince = 0;
  let holdMilliseconds = 0;

  const estimateWait = (flow: string): number =>
    costPerMillisecond === 0 ? 0 : queue.costBefore(flow) / costPerMillisecond;
  const canEnd = (item: GateItem, wait: number, now: number): boolean =>
    now + wait + holdMilliseconds * HOLD_MARGIN <= item.deadlineAt;

  const learnRate = (cost: number, now: number): void => {
    servedCost += cost;
    const elapsed = now - servedSince;
    if (elapsed < RATE_WINDOW_MILLISECONDS) return;
    const rate = servedCost / elapsed;
    const isFirst = costPerMillisecond === 0;
    costPerMillisecond = isFirst
      ? rate
      : costPerMillisecond + WINDOW_WEIGHT * (rate - costPerMillisecond);
    servedCost = 0;
    servedSince = now;
  };
  const learnHold = (held: number): void => {
    holdMilliseconds =
      holdMilliseconds === 0 ? held : holdMilliseconds + RATE_WEIGHT * (held - holdMilliseconds);
  };
  const start = (item: GateItem): void => {
    inFlight += 1;
    running.set(item.flow, (running.get(item.flow) ?? 0) + 1);
    item.start();
  };
  const endOne = (flow: string): void => {
    inFlight = Math.max(0, inFlight - 1);
    const left = (running.get(flow) ?? 1) - 1;
    if (left === 0) running.delete(flow);
    else running.set(flow, left);
  };
  const dispatch = (now: number): void => {
    while (inFlight < Math.floor(state.limit)) {
      const item = queue.pop();
      if (!item) return;
      if (!canEnd(item, 0, now)) {
        item.refuse(Math.max(LEAST_RETRY_MILLISECONDS, estimateWait(item.flow)));
        continue;
      }
      start(item);
    }
  };
  /** A flow without a running request has a small reserve above the limit. */
  const hasReserve = (flow: string): boolean =>
    !running.has(flow) && inFlight < Math.floor(state.limit * RESERVE_FACTOR) + 1;

  return {
    offer: (item, now) => {
      if (hasReserve(item.flow) && canEnd(item, 0, now)) {
        start(item);
        return;
      }
      const wait = inFlight < Math.floor(state.limit) ? 0 : estimateWait(item.flow);
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
    release: ({ flow, cost, startedAt, now, isWhole }) => {
      endOne(flow);
      const held = Math.max(1, now - startedAt);
      if (isWhole) {
        learnHold(held);
        learnRate(cost, now);
      } else if (held > holdMilliseconds)
        holdMilliseconds += (held - holdMilliseconds) * RATE_WEIGHT;
      dispatch(now);
    },
    observe: (slowdown) => {
      state = adaptLimit({
        state,
        latencyMilliseconds: slowdown,
        inFlight,
        tolerance,
        minimum: minimumLimit,
        maximum: maximumLimit,
      });
    },
    shareLimit: (peerLimit) => {
      if (inFlight < state.limit / 2) return;
      const limit = Math.min(maximumLimit, Math.max(minimumLimit, (state.limit + peerLimit) / 2));
      state = { ...state, limit };
    },
    describe: () => ({ limit: state.limit, inFlight, waiting: queue.size() }),
  };
}
