/**
 * Admission to one pool of endpoints: a fair queue in front of a concurrency limit.
 */
import {
  adaptLimit,
  createConcurrencyLimit,
  type ConcurrencyLimit,
} from '../../connection/limitConcurrency/index.js';
import { createFairQueue, type QueuedItem } from '../createFairQueue/index.js';

/** A request that waits for admission. Times are in milliseconds. */
export interface GateItem extends QueuedItem {
  readonly queuedAt: number;
  readonly deadlineAt: number;
  /** Starts the request. */
  readonly start: () => void;
  /** Refuses the request; the parameter is the delay after which the caller may retry, in milliseconds. */
  readonly refuse: (retryAfterMilliseconds: number) => void;
}

/** Options of {@link createPoolGate}. */
export interface CreatePoolGateOptions {
  readonly initialLimit?: number;
  readonly minimumLimit?: number;
  readonly maximumLimit?: number;
  readonly maximumQueue?: number;
  /** Accepted factor on the base latency. */
  readonly tolerance?: number;
}

/** Options of {@link PoolGate.release}. Times are in milliseconds. */
export interface ReleaseOptions {
  readonly flow: string;
  readonly cost: number;
  readonly startedAt: number;
  readonly now: number;
  readonly isComplete: boolean;
}

/** Admission to one pool. */
export interface PoolGate {
  readonly offer: (item: GateItem, now: number) => void;
  readonly abandon: (id: string) => void;
  /**
   * Ends an admitted request. Only complete answers count for the rate and service time estimates,
   * except that a longer incomplete one raises the service time.
   */
  readonly release: (options: ReleaseOptions) => void;
  /** Adapts the limit to the slowdown of a running request: its time per token divided by that without load. */
  readonly observe: (slowdown: number) => void;
  /** Moves the limit half-way to that of a peer when both are in full use. */
  readonly applyPeerLimit: (peerLimit: number) => void;
  readonly describe: () => {
    readonly limit: number;
    readonly inFlight: number;
    readonly waiting: number;
  };
}

const SERVICE_TIME_WEIGHT = 0.05;
const RATE_WINDOW_MILLISECONDS = 500;
const RATE_WEIGHT = 0.3;

/** Factor on the limit up to which a flow without a running request may start one. */
const RESERVE_FACTOR = 1.25;

/** Factor on the typical service time of a request that must remain before its deadline. */
const SERVICE_TIME_MARGIN = 1.2;

const MINIMUM_RETRY_MILLISECONDS = 250;

/**
 * Creates the admission to one pool.
 *
 * An item starts immediately below the limit and waits in the fair queue above it. A flow with no
 * running request may exceed the limit by a quarter, so that a small account does not wait behind a
 * large one. An item is refused on arrival when the work before it cannot finish by its deadline, and
 * when it leaves the queue with too little time remaining.
 *
 * @param options - bounds of the limit and of the queue
 * @returns the admission gate
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
  /** Number of running requests by flow. */
  const running = new Map<string, number>();
  let inFlight = 0;
  /** Throughput of the pool in tokens per millisecond; 0 until measured. */
  let costPerMillisecond = 0;
  let windowCost = 0;
  let windowStartedAt = 0;
  let serviceMilliseconds = 0;

  const estimateWait = (flow: string): number =>
    costPerMillisecond === 0 ? 0 : queue.costBefore(flow) / costPerMillisecond;
  const canFinish = (item: GateItem, wait: number, now: number): boolean =>
    now + wait + serviceMilliseconds * SERVICE_TIME_MARGIN <= item.deadlineAt;

  const updateRate = (cost: number, now: number): void => {
    windowCost += cost;
    const elapsed = now - windowStartedAt;
    if (elapsed < RATE_WINDOW_MILLISECONDS) return;
    const rate = windowCost / elapsed;
    const isFirst = costPerMillisecond === 0;
    costPerMillisecond = isFirst
      ? rate
      : costPerMillisecond + RATE_WEIGHT * (rate - costPerMillisecond);
    windowCost = 0;
    windowStartedAt = now;
  };
  const updateServiceTime = (elapsed: number): void => {
    serviceMilliseconds =
      serviceMilliseconds === 0
        ? elapsed
        : serviceMilliseconds + SERVICE_TIME_WEIGHT * (elapsed - serviceMilliseconds);
  };
  const start = (item: GateItem): void => {
    inFlight += 1;
    running.set(item.flow, (running.get(item.flow) ?? 0) + 1);
    item.start();
  };
  const removeRunning = (flow: string): void => {
    inFlight = Math.max(0, inFlight - 1);
    const remaining = (running.get(flow) ?? 1) - 1;
    if (remaining === 0) running.delete(flow);
    else running.set(flow, remaining);
  };
  const dispatch = (now: number): void => {
    while (inFlight < Math.floor(state.limit)) {
      const item = queue.pop();
      if (!item) return;
      if (!canFinish(item, 0, now)) {
        item.refuse(Math.max(MINIMUM_RETRY_MILLISECONDS, estimateWait(item.flow)));
        continue;
      }
      start(item);
    }
  };
  /** Checks whether a flow without a running request may use the reserve above the limit. */
  const canUseReserve = (flow: string): boolean =>
    !running.has(flow) && inFlight < Math.floor(state.limit * RESERVE_FACTOR) + 1;

  return {
    offer: (item, now) => {
      if (canUseReserve(item.flow) && canFinish(item, 0, now)) {
        start(item);
        return;
      }
      const wait = inFlight < Math.floor(state.limit) ? 0 : estimateWait(item.flow);
      if (queue.size() >= maximumQueue || !canFinish(item, wait, now)) {
        item.refuse(Math.max(MINIMUM_RETRY_MILLISECONDS, wait));
        return;
      }
      queue.push(item);
      dispatch(now);
    },
    abandon: (id) => {
      queue.remove(id);
    },
    release: ({ flow, cost, startedAt, now, isComplete }) => {
      removeRunning(flow);
      const elapsed = Math.max(1, now - startedAt);
      if (isComplete) {
        updateServiceTime(elapsed);
        updateRate(cost, now);
      } else if (elapsed > serviceMilliseconds)
        serviceMilliseconds += (elapsed - serviceMilliseconds) * SERVICE_TIME_WEIGHT;
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
    applyPeerLimit: (peerLimit) => {
      if (inFlight < state.limit / 2) return;
      const limit = Math.min(maximumLimit, Math.max(minimumLimit, (state.limit + peerLimit) / 2));
      state = { ...state, limit };
    },
    describe: () => ({ limit: state.limit, inFlight, waiting: queue.size() }),
  };
}
