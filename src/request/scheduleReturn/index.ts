/**
 * `Retry-After` times that are spread over the capacity that becomes free.
 */
import {
  forecastRoom,
  type RoomFacts,
  type RoomRate,
  type RoomSize,
} from '../forecastRoom/index.js';

/** Caller that was told when to return. Times are in milliseconds. */
export interface AnnouncedReturn {
  /** Recognises the caller's next attempt. */
  readonly key: string;
  /** Level of the request in the queue; lower levels are served first. */
  readonly level: number;
  readonly at: number;
  /** Memory that the request needs, in tokens. */
  readonly tokens: number;
}

/** Options of {@link forecastTurn}. */
export interface ForecastTurnOptions {
  /** What the node knows about the capacity. */
  readonly facts: RoomFacts;
  /** The request and those that wait before it. */
  readonly needed: RoomSize;
  /** Level of the request. */
  readonly level: number;
  /** Returns that were announced and have not taken place. */
  readonly returns: readonly AnnouncedReturn[];
  /** Rate of more urgent requests that are expected to arrive; none by default. */
  readonly arriving?: RoomRate;
  readonly now: number;
}

/** Options of {@link scheduleReturn}. */
export interface ScheduleReturnOptions extends ForecastTurnOptions {
  readonly minimumMilliseconds?: number;
  readonly maximumMilliseconds?: number;
}

/** Shortest `Retry-After` in milliseconds; less is lost in the caller's round trip. */
const MINIMUM_RETRY_MILLISECONDS = 100;
/** Longest `Retry-After` in milliseconds, as far as forecasts reach. */
const MAXIMUM_RETRY_MILLISECONDS = 30_000;

/**
 * Adds the returns that are announced up to a time and are served before a request of a level.
 *
 * @param options - the request, the announced returns and the time now
 * @param milliseconds - the time from now, in milliseconds
 * @returns the capacity that the request needs together with them
 * @example
 * addReturns(options, 400).requests; // 5
 */
export function addReturns(
  { needed, level, returns, now }: Omit<ForecastTurnOptions, 'facts'>,
  milliseconds: number,
): RoomSize {
  let { requests, tokens } = needed;
  for (const announced of returns) {
    if (announced.level > level || announced.at > now + milliseconds) continue;
    requests += 1;
    tokens += announced.tokens;
  }
  return { requests, tokens };
}

/**
 * Forecasts when a request has capacity after those that wait before it and the returns announced up to then.
 *
 * @param options - the request, the announced returns and the known capacity
 * @returns the time from now in milliseconds; infinite where it is not within the limit of forecasts
 * @example
 * forecastTurn({ facts, needed: { requests: 2, tokens: 1_800 }, level: 2, returns: [], now: 0 }); // 240
 */
export function forecastTurn(options: ForecastTurnOptions): number {
  const { facts, needed, arriving } = options;
  let counted = needed;
  for (;;) {
    const turn = forecastRoom(facts, counted, arriving);
    // A later time may include further returns, which make it later again.
    const next = addReturns(options, turn);
    if (next.requests === counted.requests) return turn;
    counted = next;
  }
}

/**
 * Computes the `Retry-After` of a refused request: when it has capacity by the forecast.
 *
 * The caller has to add the announced return, so that the next forecast counts it. As many callers are then told to
 * return at a time as can be served at it.
 *
 * @param options - the request, the announced returns, the known capacity and the bounds
 * @returns the time from now in milliseconds
 * @example
 * scheduleReturn({ facts, needed: { requests: 2, tokens: 1_800 }, level: 2, returns: [], now: 0 }); // 240
 */
export function scheduleReturn(options: ScheduleReturnOptions): number {
  const {
    minimumMilliseconds = MINIMUM_RETRY_MILLISECONDS,
    maximumMilliseconds = MAXIMUM_RETRY_MILLISECONDS,
  } = options;
  const { facts } = options;
  // Returns at the shortest time are counted as well: each of them needs capacity of its own.
  const permitWaitMilliseconds = Math.max(minimumMilliseconds, facts.permitWaitMilliseconds);
  const turn = forecastTurn({ ...options, facts: { ...facts, permitWaitMilliseconds } });
  return Math.min(maximumMilliseconds, turn);
}
