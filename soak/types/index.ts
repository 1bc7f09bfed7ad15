/**
 * What a soak run observes: all from outside, as callers, endpoints and the machine see it.
 *
 * Times are milliseconds of one monotonic clock that all observers share.
 */

/** Kinds of requests that callers send. */
export type RequestKind = 'stream' | 'lookUp' | 'booking';

/** How a caller's attempt ended. */
export type AttemptOutcome =
  /** A whole answer with status 200. */
  | 'answered'
  /** A whole answer which says that the request has not run and will not. */
  | 'refused'
  /** A whole answer with another status. */
  | 'failed'
  /** The connection ended before a whole answer. */
  | 'cut'
  /** The caller gave up. */
  | 'timedOut';

/** One attempt of a caller. */
export interface CallerAttempt {
  readonly request: string;
  /** Unique among all attempts of all requests. */
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly node: string;
  readonly sentAt: number;
  /** Last event that the caller already had. */
  readonly lastEvent: number;
  endedAt: number;
  outcome: AttemptOutcome;
  status: number;
  body: string;
  /** Endpoint that answered, as its answer says. */
  endpoint: string | undefined;
  /** Whether the answer said that the endpoint leaves. */
  saysLeaving: boolean;
  /** When the head of the answer came; undefined when none did. */
  headAt: number | undefined;
}

/** One request as it reached an endpoint. */
export interface EndpointSend {
  readonly request: string;
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly endpoint: string;
  /** Start of the endpoint, counted from 1. */
  readonly birth: number;
  readonly at: number;
  readonly hasRun: boolean;
  /** Layers of the path in order, where the request named one. */
  readonly path: readonly LayerSpan[] | undefined;
}

/** Layers from the first up to, but not including, the last. */
export interface LayerSpan {
  readonly from: number;
  readonly to: number;
}

/** An endpoint's demand for rest, as it was answered. */
export interface RestDemand {
  readonly endpoint: string;
  readonly birth: number;
  /** Attempt that was answered so. */
  readonly attempt: string;
  readonly at: number;
  readonly milliseconds: number;
}

/** A fault that was injected. */
export interface Disturbance {
  readonly kind: string;
  /** Node, endpoint or store that it hit. */
  readonly target: string;
  readonly from: number;
  /** Infinity as long as it lasts. */
  until: number;
}

/** A configuration that was accepted. */
export interface VersionWrite {
  readonly version: number;
  readonly at: number;
}

/** Version that a node served, as a probe of a version's own route showed. */
export interface VersionSighting {
  readonly node: string;
  /** Start of the node, counted from 1. */
  readonly birth: number;
  readonly version: number;
  readonly at: number;
}

/** How a node's process was at one moment. */
export interface ProcessSighting {
  readonly node: string;
  readonly birth: number;
  readonly at: number;
  readonly descriptors: number;
  readonly megabytes: number;
}

/** End of a node's process. */
export interface ProcessEnd {
  readonly node: string;
  readonly birth: number;
  /** Whether it was asked to stop, rather than killed. */
  readonly isPlanned: boolean;
  readonly askedAt: number;
  /** Infinity when it did not end and had to be killed. */
  readonly endedAt: number;
  readonly code: number | null;
}

/** All that was observed. */
export interface SoakRecord {
  readonly attempts: CallerAttempt[];
  readonly sends: EndpointSend[];
  readonly rests: RestDemand[];
  readonly disturbances: Disturbance[];
  readonly writes: VersionWrite[];
  readonly versions: VersionSighting[];
  readonly processes: ProcessSighting[];
  readonly ends: ProcessEnd[];
  /** When faults had ended and the nodes had time to recover; undefined in a run without that. */
  calmAt: number | undefined;
}

/** What the promises need to know of the run. */
export interface SoakBounds {
  readonly layers: number;
  /** Events of each stream. */
  readonly events: number;
  /** Longest time that an attempt may take before it counts as endless, in milliseconds. */
  readonly attemptMilliseconds: number;
  /** Time in which a node has to end when it is asked to, in milliseconds. */
  readonly stopMilliseconds: number;
  /** Time in which an accepted configuration has to be in force, in milliseconds. */
  readonly forceMilliseconds: number;
  /** Time after an answer that says so in which requests may still reach a leaving endpoint. */
  readonly drainMilliseconds: number;
  /** Sends beyond the first for each attempt that callers made, and beyond that, in a window. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** What a node's process may take more at the end than at the beginning, or than when it was warm. */
  readonly moreDescriptors: number;
  readonly moreMegabytes: number;
}

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  /** Request whose story explains it, if there is one. */
  readonly request: string | undefined;
  readonly detail: string;
}

/** One promise, checked on a record. */
export interface Check {
  readonly promise: string;
  /** Number of observations that were judged, so that a check which judged none is seen. */
  readonly count: (record: SoakRecord) => number;
  readonly find: (record: SoakRecord, bounds: SoakBounds) => Omit<Violation, 'promise'>[];
}
