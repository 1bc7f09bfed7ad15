/**
 * Types of the circuit breakers for parts of requests.
 *
 * A part is what several requests may share: a part of a prompt, or all of a plain request. Times are in
 * milliseconds on the monotonic clock of the node; messages between nodes carry ages instead.
 */

/** Crash of an endpoint on which a run of a request had begun, but had delivered no answer. */
export interface CrashReport {
  /** Identifier of the endpoint. */
  readonly endpoint: string;
  /** Unix time of the endpoint's start in milliseconds; tells its incarnations apart. */
  readonly startedAt: number;
  readonly address: string;
  /** Identifier of the caller's attempt. */
  readonly attempt: string;
  /** Parts of the request; the last one identifies the request itself. */
  readonly parts: readonly string[];
  /** Time at which the run was sent to the endpoint, in milliseconds. */
  readonly sentAt: number;
  /** Time of the crash in milliseconds. */
  readonly at: number;
}

/** Part, and a time at which something happened to it in milliseconds. */
export interface PartTime {
  readonly part: string;
  readonly at: number;
}

/** Facts about parts that nodes exchange. */
export interface PartFacts {
  readonly reports: readonly CrashReport[];
  /** Parts with the time at which an endpoint last answered a request that holds them. */
  readonly successes: readonly PartTime[];
  /** Blocked parts with the time at which a node began to try one request that holds them. */
  readonly trials: readonly PartTime[];
}

/** State of one part: closed while its requests are passed on, open while they are blocked. */
export type BreakerState =
  | { readonly kind: 'closed' }
  | {
      readonly kind: 'open';
      /** Number of crashes that count against the part. */
      readonly crashes: number;
      /** Time from which one request with the part may be tried, in milliseconds. */
      readonly retryAt: number;
      /** Time between the last crash and `retryAt`, in milliseconds. */
      readonly pauseMilliseconds: number;
    };
