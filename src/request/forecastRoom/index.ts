/**
 * Forecast of when a request of a given size has capacity, from the ends of running requests.
 */

/** Capacity that requests take up: their number (slots), and their memory in tokens. */
export interface RoomSize {
  readonly requests: number;
  readonly tokens: number;
}

/** Request that this node runs. */
export interface RunningRequest {
  /** Expected number of events until its end; 0 or less where it is longer than expected. */
  readonly remainingEvents: number;
  /** Observed time between its events, in milliseconds. */
  readonly paceMilliseconds: number;
  /** Memory that it releases at its end, in tokens. */
  readonly tokens: number;
}

/** What a node knows about the capacity of a service. */
export interface RoomFacts {
  /** Capacity that is free for this node now. */
  readonly free: RoomSize;
  /** Requests of this node that run. */
  readonly running: readonly RunningRequest[];
  /** Requests of other nodes that run, according to their last load reports. */
  readonly others: RoomSize;
  /** Age of these reports, in milliseconds: later than that, this node hears of an end. */
  readonly loadAgeMilliseconds: number;
  /** Mean time that a request runs, in milliseconds. */
  readonly stayMilliseconds: number;
  /** Number of nodes that share the capacity, including this one. */
  readonly nodes: number;
  /** Time until an endpoint with a rate limit may get another request, in milliseconds. */
  readonly permitWaitMilliseconds: number;
}

/** Rate of requests, per millisecond. */
export type RoomRate = RoomSize;

/** Longest time that a forecast looks ahead, in milliseconds; longer than the deadline of a stream. */
export const FORECAST_LIMIT_MILLISECONDS = 30_000;
/** Precision of a forecast, in milliseconds. */
const PRECISION_MILLISECONDS = 1;
/** A run that is longer than expected counts as ending with its next event. */
const MINIMUM_REMAINING_EVENTS = 1;
/** Shortest mean time of a run, in milliseconds, so that a rate stays finite. */
const MINIMUM_STAY_MILLISECONDS = 1;

/** Returns the share of all ends that this node may use: that of the runs it has, at least an equal one. */
function computeShare({ running, others, nodes }: RoomFacts): number {
  const total = running.length + others.requests;
  const ofRuns = total > 0 ? running.length / total : 0;
  return Math.min(1, Math.max(ofRuns, 1 / Math.max(1, nodes)));
}

/**
 * Computes the capacity that becomes available to a node up to a time.
 *
 * @param facts - what the node knows
 * @param milliseconds - the time from now, in milliseconds
 * @returns the number of requests and their tokens
 * @example
 * computeRoom(facts, 500).requests; // 3.2
 */
export function computeRoom(facts: RoomFacts, milliseconds: number): RoomSize {
  const { free, running, others, loadAgeMilliseconds } = facts;
  const stay = Math.max(MINIMUM_STAY_MILLISECONDS, facts.stayMilliseconds);
  let requests = 0;
  let tokens = 0;
  for (const run of running) {
    const events = Math.max(MINIMUM_REMAINING_EVENTS, run.remainingEvents);
    const endsIn = events * run.paceMilliseconds;
    if (endsIn > milliseconds) continue;
    // The place of a run that ends is taken by another one, which ends after the mean time.
    const ends = 1 + Math.floor((milliseconds - endsIn) / stay);
    requests += ends;
    tokens += ends * run.tokens;
  }
  const heard = Math.max(0, milliseconds - loadAgeMilliseconds) / stay;
  const share = computeShare(facts);
  return {
    requests: free.requests + share * (requests + heard * others.requests),
    tokens: free.tokens + share * (tokens + heard * others.tokens),
  };
}

const NO_RATE: RoomRate = { requests: 0, tokens: 0 };

/**
 * Returns whether a node has capacity for a number of requests within a time.
 *
 * @param facts - what the node knows
 * @param needed - the requests that are served first, together with the one that is asked about
 * @param milliseconds - the time from now, in milliseconds
 * @param arriving - rate of later requests that are served before it; none by default
 * @returns whether the capacity is enough
 * @example
 * hasRoomWithin(facts, { requests: 3, tokens: 2_400 }, 500); // true
 */
export function hasRoomWithin(
  facts: RoomFacts,
  needed: RoomSize,
  milliseconds: number,
  arriving = NO_RATE,
): boolean {
  if (milliseconds < facts.permitWaitMilliseconds) return false;
  const room = computeRoom(facts, milliseconds);
  return (
    room.requests >= needed.requests + arriving.requests * milliseconds &&
    room.tokens >= needed.tokens + arriving.tokens * milliseconds
  );
}

/**
 * Forecasts the time until a node has capacity for a number of requests.
 *
 * @param facts - what the node knows
 * @param needed - the requests that are served first, together with the one that is asked about
 * @param arriving - rate of later requests that are served before it; none by default
 * @returns the time from now in milliseconds; infinite where it is not within the limit of forecasts
 * @example
 * forecastRoom(facts, { requests: 3, tokens: 2_400 }); // 480
 */
export function forecastRoom(facts: RoomFacts, needed: RoomSize, arriving = NO_RATE): number {
  const isEnough = (milliseconds: number): boolean =>
    hasRoomWithin(facts, needed, milliseconds, arriving);
  const earliest = Math.max(0, facts.permitWaitMilliseconds);
  if (isEnough(earliest)) return earliest;
  if (earliest >= FORECAST_LIMIT_MILLISECONDS || !isEnough(FORECAST_LIMIT_MILLISECONDS)) {
    return Number.POSITIVE_INFINITY;
  }
  let tooEarly = earliest;
  let enough = FORECAST_LIMIT_MILLISECONDS;
  while (enough - tooEarly > PRECISION_MILLISECONDS) {
    const middle = (tooEarly + enough) / 2;
    if (isEnough(middle)) enough = middle;
    else tooEarly = middle;
  }
  return enough;
}
