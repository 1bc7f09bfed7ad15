/**
 * Types of the site that a node serves: configuration, endpoints and nodes.
 */

/** Execution guarantee of a request, and the form of its response. */
export type RequestKind = 'safe' | 'atMostOnce' | 'stream';

/** Share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Route that maps requests to services and sets their time limits. */
export interface SiteRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly timeoutMilliseconds: number;
  /** Time to the first event, or to a buffered response, above which a response counts as slow. */
  readonly objectiveMilliseconds: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  readonly maximumAttempts: number;
  readonly isPublic: boolean;
  /** Whether an interrupted response may be resumed on another endpoint. */
  readonly isResumable: boolean;
  /** Time between two events above which a stream counts as slow. */
  readonly longestPauseMilliseconds: number;
}

/** Type of accelerator, with its memory and its speed. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Slowdown factor on the time of a token step; 1 is normal. */
  readonly pace: number;
  /** Slowdown factor on the time of prompt processing. */
  readonly readFactor: number;
}

/** Costs of a model whose layers are distributed over several endpoints. */
export interface LayeredModel {
  readonly layers: number;
  readonly layerMegabytes: number;
  /** KV-cache memory of one token in all layers, in bytes. */
  readonly tokenBytes: number;
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerSequence: number;
  readonly stepMillisecondsPerThousandTokens: number;
  readonly readTokensPerSecond: number;
  /** Token steps in one pass through the layers. */
  readonly stride: number;
  /** Number of requests that may run at the same time on an endpoint as their first hop. */
  readonly slots: number;
  /** Size of the activations of one token, which one endpoint sends to the next, in bytes. */
  readonly activationBytes: number;
  readonly linkMegabitsPerSecond: number;
  /** Bandwidth that all transfers between two availability zones share. */
  readonly pipeMegabitsPerSecond: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly loadSeconds: number;
  readonly kinds: readonly AcceleratorKind[];
}

/** Service of a site. */
export interface SiteService {
  readonly name: string;
  readonly healthPath: string;
  readonly maximumConnections: number;
  readonly model?: LayeredModel | undefined;
  /** Whether nodes spread their choices of a path; false by default, set when a configuration is compiled. */
  readonly spreadsChoices?: boolean;
}

/** Limits on callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Client account with its API keys. */
export interface SiteAccount {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number | undefined;
}

/** Version of the configuration that operators declare. */
export interface SiteConfiguration {
  readonly version: number;
  readonly routes: readonly SiteRoute[];
  readonly services: readonly SiteService[];
  readonly limits: CallerLimits;
  /** Client accounts; undefined when callers need no API key. */
  readonly accounts?: readonly SiteAccount[] | undefined;
}

/** Half-open range of layers: includes `from`, excludes `to`. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** Entry of an endpoint in the registry. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly isDraining: boolean;
  /** Unix time of the endpoint's start, in milliseconds; 0 when it is unknown. */
  readonly startedAt: number;
  readonly slots: number;
  readonly kind?: string | undefined;
  readonly layers?: LayerRange | undefined;
}

/** Load and state that an endpoint reports on request. */
export interface EndpointReport {
  /** Number of orders that the endpoint has accepted since its start. */
  readonly acceptedOrders: number;
  readonly isBusy: boolean;
  readonly layers?: LayerRange | undefined;
  /** Slowdown factor: 1 is normal speed, more is slower. */
  readonly slowdown: number;
  /** KV-cache memory in use, in token-layers: one token in one layer. */
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  readonly startedAt: number;
  /** Addresses of endpoints for which requests at this endpoint wait without success. */
  readonly stalledAddresses: readonly string[];
  /** Whether the endpoint reports that it is leaving. */
  readonly isLeaving: boolean;
  /** Requests per second that the endpoint accepts from all nodes together; undefined without a limit. */
  readonly requestsPerSecond?: number | undefined;
}

/** Hop of a request's path through endpoints that each host a part of the layers. */
export interface PathHop {
  readonly endpoint: string;
  readonly address: string;
  readonly range: LayerRange;
}

/** Node as it is registered and announced to other nodes. */
export interface NodeRecord {
  readonly name: string;
  readonly availabilityZone: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Unix time of the node's start, in milliseconds; the record with the later start wins. */
  readonly incarnation: number;
  readonly isLeaving: boolean;
}
