/**
 * Bounded room of requests that wait for capacity, in order of priority and fair between client accounts.
 */
import { createFairQueue, type QueuedItem } from '../createFairQueue/index.js';
import {
  hasRoomWithin,
  type RoomFacts,
  type RoomRate,
  type RoomSize,
} from '../forecastRoom/index.js';
import {
  addReturns,
  forecastTurn,
  scheduleReturn,
  type AnnouncedReturn,
} from '../scheduleReturn/index.js';

/** Request that may wait. Times are in milliseconds. */
export interface WaitingRequest {
  readonly id: string;
  readonly account: string;
  /** Effective priority, from 1, the most urgent, to 9. */
  readonly priority: number;
  /** Memory that it needs, in tokens. */
  readonly tokens: number;
  /** Memory of this node that it holds while it waits, in bytes. */
  readonly bytes: number;
  /** Recognises a further attempt of the same caller. */
  readonly returnKey: string;
  /** Whether it is an attempt at the time that was announced for it. */
  readonly isReturn: boolean;
  readonly arrivedAt: number;
  readonly objectiveMilliseconds: number;
  /** Time at which the caller must have its final response. */
  readonly deadlineAt: number;
}

/** Request that arrives. */
export type ArrivingRequest = Pick<WaitingRequest, 'priority' | 'tokens' | 'returnKey'>;

/** Answer to a request that asks for a place. */
export type RoomAnswer =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait'; readonly expectedMilliseconds: number }
  | { readonly kind: 'refuse'; readonly retryAfterMilliseconds: number };

/** Request that lost its place, and the time after which its caller may return. */
export interface RemovedRequest<Request> {
  readonly request: Request;
  readonly retryAfterMilliseconds: number;
}

/** Options of {@link createWaitingRoom}. */
export interface CreateWaitingRoomOptions<Request> {
  /** Returns what the node knows about the capacity. */
  readonly readFacts: (now: number) => RoomFacts;
  /** Returns whether a request has capacity now. */
  readonly mayRun: (request: Request, now: number) => boolean;
  /** Returns whether the node knows the load that the others cause. */
  readonly isLoadKnown: () => boolean;
  readonly maximumRequests?: number;
  readonly maximumBytes?: number;
  readonly maximumReturns?: number;
  /** How long capacity is reserved after an announced time, in milliseconds. */
  readonly reservedMilliseconds?: number;
}

/** Recent requests of one priority, exponentially decayed. */
interface Demand {
  readonly requests: number;
  readonly tokens: number;
  readonly at: number;
}

/** Room of waiting requests of one service. */
export interface WaitingRoom<Request extends WaitingRequest> {
  /** Asks for a place; other requests may lose theirs, which `removeLate` returns. */
  readonly offer: (request: Request, now: number) => RoomAnswer;
  /** Removes and returns the next request when it has capacity. */
  readonly admitNext: (now: number) => Request | undefined;
  /** Removes the requests that lost their place, or that are not served while their callers benefit. */
  readonly removeLate: (now: number) => RemovedRequest<Request>[];
  /** Removes a request whose caller has disconnected; returns whether it waited. */
  readonly leave: (id: string) => boolean;
  /** Removes and returns all requests. */
  readonly clear: () => Request[];
  /** Returns whether a new request of a priority has to wait behind others. */
  readonly isBefore: (priority: number) => boolean;
  /**
   * Records that a request arrived, whether it needs a place or not. Returns the announced time where it is a return
   * that is due.
   */
  readonly recordArrival: (request: ArrivingRequest, now: number) => number | undefined;
  readonly size: () => number;
  /** Lists the waiting requests in the order in which they are served. */
  readonly list: () => Request[];
}

interface QueuedRequest<Request> extends QueuedItem {
  readonly level: number;
  readonly request: Request;
  readonly bytes: number;
  /** Time up to which the caller benefits from waiting, in milliseconds. */
  readonly latestAt: number;
}

/** Bound on waiting requests of a service: more than a node ends in half of a usual deadline of 20 s. */
const MAXIMUM_REQUESTS = 256;
/** Bound on the memory of waiting requests of a service, in bytes: a sixteenth of the smallest VM. */
const MAXIMUM_BYTES = 16_777_216;
/** Bound on announced returns of a service; later refusals are told the same time as the last one. */
const MAXIMUM_RETURNS = 512;
/** A caller's next attempt arrives with its timer and its round trip late, rarely by more than this. */
const RESERVED_MILLISECONDS = 500;
/** Time over which recent demand is counted, in milliseconds: about as long as a stream runs. */
const DEMAND_MILLISECONDS = 2_000;
/** An attempt up to this long before the announced time counts as on time, as `Retry-After` is rounded to 10 ms. */
const EARLY_MILLISECONDS = 20;
/** Share of the remaining deadline after which the caller no longer benefits from waiting. */
const WAIT_SHARE = 0.5;
/** Each priority has one level for announced returns, followed by one for first attempts. */
const LEVELS_PER_PRIORITY = 2;

function computeLevel(priority: number, isReturn: boolean): number {
  return priority * LEVELS_PER_PRIORITY + (isReturn ? 0 : 1);
}

/** Returns the time up to which a request may wait: within its objective, or half of what is left to its deadline. */
function computeLatest(request: WaitingRequest, isLoadKnown: boolean, now: number): number {
  const { arrivedAt, objectiveMilliseconds, deadlineAt } = request;
  const inTime = arrivedAt + objectiveMilliseconds;
  const late = now + (deadlineAt - now) * WAIT_SHARE;
  return Math.min(deadlineAt, isLoadKnown ? Math.max(inTime, late) : inTime);
}

/**
 * Creates an empty room.
 *
 * A request gets a place only where the forecast serves it while its caller benefits. Requests are served by priority;
 * within one, announced returns go first, and accounts are served in proportion.
 *
 * @param options - the known capacity, the check of a single request, and the bounds
 * @returns the room
 * @example
 * const room = createWaitingRoom({ readFacts, mayRun, isLoadKnown: () => true });
 * room.offer(request, 0).kind; // 'wait'
 */
export function createWaitingRoom<Request extends WaitingRequest>(
  options: CreateWaitingRoomOptions<Request>,
): WaitingRoom<Request> {
  const {
    readFacts,
    mayRun,
    isLoadKnown,
    maximumRequests = MAXIMUM_REQUESTS,
    maximumBytes = MAXIMUM_BYTES,
    maximumReturns = MAXIMUM_RETURNS,
    reservedMilliseconds = RESERVED_MILLISECONDS,
  } = options;
  const queue = createFairQueue<QueuedRequest<Request>>();
  let bytes = 0;
  let returns: AnnouncedReturn[] = [];
  /** Requests that lost their place to a more urgent one. */
  let displaced: RemovedRequest<Request>[] = [];

  const demands = new Map<number, Demand>();
  const readDemand = (priority: number, now: number): RoomSize => {
    const { requests, tokens, at } = demands.get(priority) ?? { requests: 0, tokens: 0, at: now };
    const factor = Math.exp((at - now) / DEMAND_MILLISECONDS);
    return { requests: requests * factor, tokens: tokens * factor };
  };
  /** Computes the rate of requests that are more urgent than a priority. */
  const computeArriving = (priority: number, now: number): RoomRate => {
    let arriving = { requests: 0, tokens: 0 };
    for (const other of demands.keys()) {
      if (other >= priority) continue;
      const { requests, tokens } = readDemand(other, now);
      arriving = {
        requests: arriving.requests + requests / DEMAND_MILLISECONDS,
        tokens: arriving.tokens + tokens / DEMAND_MILLISECONDS,
      };
    }
    return arriving;
  };
  const forgetOldReturns = (now: number): void => {
    returns = returns.filter(({ at }) => at + reservedMilliseconds > now);
  };
  const announceReturn = (request: Request, facts: RoomFacts, now: number): number => {
    const { account, priority, tokens, returnKey: key } = request;
    const level = computeLevel(priority, false);
    const before = queue.measureBefore(account, level);
    const needed = { requests: before.items + 1, tokens: before.cost + tokens };
    const arriving = computeArriving(priority, now);
    const delay = scheduleReturn({ facts, needed, level, returns, arriving, now });
    if (returns.length < maximumReturns) {
      returns.push({ key, level: computeLevel(priority, true), at: now + delay, tokens });
    }
    return delay;
  };
  const remove = (item: QueuedRequest<Request>): void => {
    if (queue.remove(item.id)) bytes -= item.bytes;
  };
  const isOverBounds = (): boolean => queue.size() > maximumRequests || bytes > maximumBytes;
  /** Makes room by removing the requests that are served last; returns whether an item has kept its place. */
  const keepWithinBounds = (
    item: QueuedRequest<Request>,
    facts: RoomFacts,
    now: number,
  ): boolean => {
    while (isOverBounds()) {
      const last = queue.list().at(-1);
      if (!last) return false;
      remove(last);
      if (last === item) return false;
      const retryAfterMilliseconds = announceReturn(last.request, facts, now);
      displaced.push({ request: last.request, retryAfterMilliseconds });
    }
    return true;
  };
  /** Returns whether an item has capacity while its caller benefits, after the given requests. */
  const isInTime = (
    { latestAt, level, request }: QueuedRequest<Request>,
    needed: RoomSize,
    facts: RoomFacts,
    now: number,
  ): boolean => {
    const remaining = latestAt - now;
    const arriving = computeArriving(request.priority, now);
    const turn = { needed, level, returns, now, arriving };
    // The capacity at one time costs less than a forecast, which searches for the time.
    if (hasRoomWithin(facts, addReturns(turn, remaining), remaining, arriving)) return true;
    return forecastTurn({ ...turn, facts }) <= remaining;
  };

  return {
    offer: (request, now) => {
      forgetOldReturns(now);
      const facts = readFacts(now);
      const level = computeLevel(request.priority, request.isReturn);
      const { id, account: flow, tokens } = request;
      const before = queue.measureBefore(flow, level);
      const needed = { requests: before.items + 1, tokens: before.cost + tokens };
      const arriving = computeArriving(request.priority, now);
      const turn = { facts, needed, level, returns, arriving, now };
      const expectedMilliseconds = forecastTurn(turn);
      if (before.items === 0 && expectedMilliseconds === 0) return { kind: 'run' };
      const latestAt = computeLatest(request, isLoadKnown(), now);
      const item = { id, flow, weight: 1, cost: tokens, level, request, latestAt };
      const queued = { ...item, bytes: request.bytes };
      if (now + expectedMilliseconds <= latestAt) {
        queue.push(queued);
        bytes += queued.bytes;
        if (keepWithinBounds(queued, facts, now)) return { kind: 'wait', expectedMilliseconds };
      }
      const retryAfterMilliseconds = announceReturn(request, facts, now);
      return { kind: 'refuse', retryAfterMilliseconds };
    },
    admitNext: (now) => {
      const head = queue.peek();
      if (!head || !mayRun(head.request, now)) return undefined;
      queue.pop();
      bytes -= head.bytes;
      return head.request;
    },
    removeLate: (now) => {
      const removed = displaced;
      displaced = [];
      if (queue.size() === 0) return removed;
      forgetOldReturns(now);
      const facts = readFacts(now);
      let before: RoomSize = { requests: 0, tokens: 0 };
      const late: QueuedRequest<Request>[] = [];
      for (const item of queue.list()) {
        const needed = { requests: before.requests + 1, tokens: before.tokens + item.cost };
        if (item.latestAt > now && isInTime(item, needed, facts, now)) before = needed;
        else late.push(item);
      }
      late.forEach(remove);
      for (const { request } of late) {
        const retryAfterMilliseconds = announceReturn(request, facts, now);
        removed.push({ request, retryAfterMilliseconds });
      }
      return removed;
    },
    leave: (id) => {
      const item = queue.list().find((queued) => queued.id === id);
      if (item) remove(item);
      return item !== undefined;
    },
    clear: () => {
      const requests = queue.list().map(({ request }) => request);
      while (queue.pop());
      bytes = 0;
      returns = [];
      return [...displaced.splice(0).map(({ request }) => request), ...requests];
    },
    isBefore: (priority) => queue.measureBefore('', computeLevel(priority, false)).items > 0,
    recordArrival: ({ priority, tokens, returnKey }, now) => {
      const demand = readDemand(priority, now);
      const total = { requests: demand.requests + 1, tokens: demand.tokens + tokens };
      demands.set(priority, { ...total, at: now });
      forgetOldReturns(now);
      const position = returns.findIndex(
        ({ key, at }) => key === returnKey && at - EARLY_MILLISECONDS <= now,
      );
      const [taken] = position < 0 ? [] : returns.splice(position, 1);
      return taken?.at;
    },
    size: queue.size,
    list: () => queue.list().map(({ request }) => request),
  };
}
