/**
 * Observations of a soak run, made from outside the nodes: by callers, by endpoints and from process statistics.
 *
 * Times are in milliseconds, on one monotonic clock that all observers share.
 */

/** Kinds of requests that callers send. */
export type RequestKind = 'stream' | 'lookUp' | 'booking';

/** Outcome of a caller's attempt. */
export type AttemptOutcome =
  /** Complete response with status 200. */
  | 'answered'
  /** Complete response which states that the request was not and will not be executed. */
  | 'refused'
  /** Complete response with another status. */
  | 'failed'
  /** The connection closed before the response was complete. */
  | 'cut'
  /** The caller abandoned the attempt. */
  | 'timedOut';

/** One attempt of a caller's request. */
export interface CallerAttempt {
  readonly request: string;
  /** Unique among all attempts of all requests. */
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly node: string;
  readonly sentAt: number;
  /** Number of the last event that the caller received in earlier attempts. */
  readonly lastEvent: number;
  endedAt: number;
  outcome: AttemptOutcome;
  status: number;
  body: string;
  /** Endpoint named in the response; undefined when none is. */
  endpoint: string | undefined;
  /** Whether the response announced the endpoint's shutdown. */
  saysLeaving: boolean;
  /** When the response headers arrived; undefined when none did. */
  headAt: number | undefined;
  /** Parts of the prompt; none for a request without one. */
  readonly parts: readonly string[];
}

/** One request that an endpoint received. */
export interface EndpointSend {
  readonly request: string;
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly endpoint: string;
  /** Number of the endpoint's start, counted from 1. */
  readonly birth: number;
  readonly at: number;
  readonly hasRun: boolean;
  /** Layers of the path in order; undefined for a request without a path. */
  readonly path: readonly LayerSpan[] | undefined;
  /** Parts of the prompt; none for a request without one. */
  readonly parts: readonly string[];
}

/** Crash of an endpoint by a part of a request. */
export interface PartCrash {
  readonly part: string;
  readonly endpoint: string;
  readonly at: number;
}

/** Response without framing whose connection ended before its endpoint had sent all of it. */
export interface UnfinishedResponse {
  readonly request: string;
  readonly endpoint: string;
  readonly at: number;
}

/** Range of layers: from inclusive, to exclusive. */
export interface LayerSpan {
  readonly from: number;
  readonly to: number;
}

/** Backoff that an endpoint requested in a response. */
export interface RecordedBackoff {
  readonly endpoint: string;
  readonly birth: number;
  /** Attempt whose response requested the backoff. */
  readonly attempt: string;
  readonly at: number;
  readonly milliseconds: number;
}

/** Rate limit that an endpoint announced in its responses. */
export interface AnnouncedLimit {
  readonly endpoint: string;
  readonly birth: number;
  readonly requestsPerSecond: number;
  readonly from: number;
  /** End of the limit; Infinity while it stands. */
  until: number;
}

/** Injected fault. */
export interface InjectedFault {
  readonly kind: string;
  /** Node, endpoint or store that the fault affects. */
  readonly target: string;
  readonly from: number;
  /** End of the fault; Infinity while it lasts. */
  until: number;
}

/** Configuration version that the store accepted. */
export interface ConfigurationWrite {
  readonly version: number;
  readonly at: number;
}

/**
 * Version that a node served, observed by a probe of the route that only this version has; 0 for a node that has the
 * route of no version.
 */
export interface VersionObservation {
  readonly node: string;
  /** Number of the node's start, counted from 1. */
  readonly birth: number;
  readonly version: number;
  readonly at: number;
}

/** Restoration of the store from a copy. */
export interface StoreRestoration {
  /** Writes after this time are lost. */
  readonly copiedAt: number;
  readonly awayAt: number;
  /** When the store responded again. */
  readonly returnedAt: number;
  /** When the store had the last accepted configuration again, or a later one. */
  readonly rewrittenAt: number;
}

/** Entry of an endpoint that stopped being available, as the store accepted it. */
export interface EndpointDeparture {
  readonly endpoint: string;
  readonly birth: number;
  readonly at: number;
}

/** Whether the store had the registration of a running node. */
export interface RegistrationObservation {
  readonly node: string;
  readonly birth: number;
  readonly at: number;
  readonly isRegistered: boolean;
}

/** Open files and memory of a node's process at one time. */
export interface ProcessObservation {
  readonly node: string;
  readonly birth: number;
  readonly at: number;
  readonly descriptors: number;
  readonly megabytes: number;
}

/** Exit of a node's process. */
export interface ProcessExit {
  readonly node: string;
  readonly birth: number;
  /** Whether the process was stopped with SIGTERM rather than killed. */
  readonly isPlanned: boolean;
  readonly askedAt: number;
  /** Infinity when the process did not exit in time and was killed. */
  readonly endedAt: number;
  readonly code: number | null;
}

/** Line of a node's log about an exception that nothing caught. */
export interface InternalError {
  readonly node: string;
  readonly line: string;
}

/** Exit of a node's process that nothing asked for. */
export interface ProcessDeath {
  readonly node: string;
  readonly birth: number;
  readonly at: number;
  /** Exit code; null when a signal ended the process. */
  readonly code: number | null;
}

/** Request at an address that only odd entries of the registry name. */
export interface StrayRequest {
  readonly request: string;
  readonly method: string;
  readonly url: string;
  readonly at: number;
}

/** All observations of a run. */
export interface SoakRecord {
  readonly attempts: CallerAttempt[];
  readonly sends: EndpointSend[];
  readonly rests: RecordedBackoff[];
  readonly limits: AnnouncedLimit[];
  readonly crashes: PartCrash[];
  readonly unfinished: UnfinishedResponse[];
  readonly disturbances: InjectedFault[];
  readonly writes: ConfigurationWrite[];
  readonly versions: VersionObservation[];
  readonly restorations: StoreRestoration[];
  readonly departures: EndpointDeparture[];
  readonly registrations: RegistrationObservation[];
  readonly processes: ProcessObservation[];
  readonly ends: ProcessExit[];
  readonly internalErrors: InternalError[];
  readonly deaths: ProcessDeath[];
  readonly strays: StrayRequest[];
  /** End of the recovery time after the last fault; undefined in a run without recovery time. */
  calmAt: number | undefined;
}

/** Limits of the promises, and properties of the run that they depend on. */
export interface SoakBounds {
  readonly layers: number;
  /** Number of events of each stream. */
  readonly events: number;
  /** Maximum duration of an attempt, in milliseconds. */
  readonly attemptMilliseconds: number;
  /** Time in which a node has to exit after SIGTERM, in milliseconds. */
  readonly stopMilliseconds: number;
  /** Time in which nodes have to apply an accepted configuration, in milliseconds. */
  readonly applyMilliseconds: number;
  /** The same for nodes without faults of their own and of the store for the contact time, in milliseconds. */
  readonly contactApplyMilliseconds: number;
  /** Time after which a node without faults knows what the store accepted, in milliseconds. */
  readonly noticeMilliseconds: number;
  /** Time in which a node without faults has to be registered, in milliseconds. */
  readonly registerMilliseconds: number;
  /** Time after a shutdown notice in which requests may still reach the endpoint, in milliseconds. */
  readonly drainMilliseconds: number;
  /** Maximum repeated sends in a window: a ratio of the callers' attempts, plus a fixed slack. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** Crashes by one part after which nodes have to know it. */
  readonly crashesUntilKnown: number;
  /** Time after a disruption from which a node counts as in contact with the others, in milliseconds. */
  readonly contactMilliseconds: number;
  /** Requests with a known part that may still reach endpoints. */
  readonly maximumKnownSends: number;
  /** Maximum growth of a process: open files since its first observation, and memory since its warm-up. */
  readonly maximumDescriptorGrowth: number;
  readonly maximumMegabyteGrowth: number;
}

/** Violation of a promise. */
export interface Violation {
  readonly promise: string;
  /** Request that the violation concerns; undefined when it concerns none. */
  readonly request: string | undefined;
  readonly detail: string;
}

/** Check of one promise on a record. */
export interface Check {
  readonly promise: string;
  /** Counts the checked observations, so that the report shows a check that had none. */
  readonly count: (record: SoakRecord) => number;
  readonly find: (record: SoakRecord, bounds: SoakBounds) => Omit<Violation, 'promise'>[];
}
