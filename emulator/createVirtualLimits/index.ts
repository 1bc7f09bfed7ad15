/**
 * Rate limits that emulated endpoints announce, and the requests that reach them meanwhile.
 */
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Rate limits of a day. */
export interface VirtualLimits {
  /** Lets an endpoint announce a limit for a time. */
  readonly announce: (address: string, requestsPerSecond: number, milliseconds: number) => void;
  /** Returns the limit that an endpoint announces now, in requests per second. */
  readonly find: (address: string) => number | undefined;
  /** Records a request that reaches an endpoint. */
  readonly recordRequest: (address: string) => void;
  /** Returns the number of limits that were exceeded by more than the tolerance. */
  readonly countExceeded: () => number;
}

/** Time after which all nodes have to know a limit, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 4_000;
/** Requests in a window: a factor on the announced number, and a number beyond that. */
const TOLERANCE = { factor: 1.5, requests: 5 } as const;

interface Limit {
  readonly requestsPerSecond: number;
  readonly since: number;
  readonly until: number;
  /** Times of the requests that count, in milliseconds. */
  readonly times: number[];
}

function isExceeded({ requestsPerSecond, times }: Limit): boolean {
  const announced = requestsPerSecond * (WINDOW_MILLISECONDS / 1_000);
  const allowed = Math.floor(TOLERANCE.factor * announced + TOLERANCE.requests);
  return times.some((time, index) => {
    const later = times[index + allowed];
    return later !== undefined && later - time < WINDOW_MILLISECONDS;
  });
}

/**
 * Creates the limits of a day, of which none is announced.
 *
 * @param time - virtual time
 * @returns the limits
 * @example
 * createVirtualLimits(time).announce('engine:a100-0-0', 2, 10_000);
 */
export function createVirtualLimits(time: Pick<VirtualTime, 'now'>): VirtualLimits {
  const limits = new Map<string, Limit[]>();
  const findStanding = (address: string): Limit | undefined => {
    const last = limits.get(address)?.at(-1);
    return last && time.now() < last.until ? last : undefined;
  };
  return {
    announce: (address, requestsPerSecond, milliseconds) => {
      const since = time.now();
      const limit = { requestsPerSecond, since, until: since + milliseconds, times: [] };
      limits.set(address, [...(limits.get(address) ?? []), limit]);
    },
    find: (address) => findStanding(address)?.requestsPerSecond,
    recordRequest: (address) => {
      const limit = findStanding(address);
      if (limit && time.now() >= limit.since + KNOWN_MILLISECONDS) limit.times.push(time.now());
    },
    countExceeded: () => [...limits.values()].flat().filter(isExceeded).length,
  };
}
