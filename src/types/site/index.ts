/**
 * What a node knows of the site that it serves: configuration, endpoints and nodes.
 */

/** How often a request may run, and in which form it is answered. */
export type RequestKind = 'safe' | 'atMostOnce' | 'stream';

/** A share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** One route: which requests go to which services, and within which times. */
export interface SiteRoute {
  readonly name: string;
  readonly host: string;
  /** Start of the path; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly timeoutMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  readonly mostAttempts: number;
  readonly isPublic: boolean;
  /** A broken answer may be continued on another endpoint. */
  readonly isResumable: boolean;
  readonly longestPauseMilliseconds: number;
}

/** One kind of accelerator. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Factor on the time of a token step. */
  readonly pace: number;
  /** Factor on the time of reading prompts. */
  readonly readFactor: number;
}

/** Costs of a model whose layers are spread over several endpoints. */
export interface LayeredModel {
  readonly layers: number;
  readonly layerMegabytes: number;
  /** Bytes of memory of one token in all layers. */
  readonly tokenBytes: number;
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerSequence: number;
  readonly stepMillisecondsPerThousandTokens: number;
  readonly readTokensPerSecond: number;
  /** Token steps of one pass. */
  readonly stride: number;
  readonly slots: number;
  readonly activationBytes: number;
  readonly linkMegabitsPerSecond: number;
  /** Bandwidth that all transfers between two availability zones share. */
  readonly pipeMegabitsPerSecond: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly loadSeconds: number;
  readonly kinds: readonly AcceleratorKind[];
}

/** One service. */
export interface SiteService {
  readonly name: string;
  readonly healthPath: string;
  readonly mostConnections: number;
  readonly model?: LayeredModel | undefined;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One client account with its keys. */
export interface SiteAccount {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number | undefined;
}

/** One version of the operators' configuration. */
export interface SiteConfiguration {
  readonly version: number;
  readonly routes: readonly SiteRoute[];
  readonly services: readonly SiteService[];
  readonly limits: CallerLimits;
  /** Undefined when callers need no key. */
  readonly accounts?: readonly SiteAccount[] | undefined;
}

/** Layers from `from` up to, but not including, `to`. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** What the registry says of one endpoint. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly isDraining: boolean;
  /** Unix time of the endpoint's start in milliseconds; 0 when it is unknown. */
  readonly bornAt: number;
  readonly slots: number;
  readonly kind?: string | undefined;
  readonly layers?: LayerRange | undefined;
}

/** Load and state that an endpoint reports when it is asked. */
export interface EndpointReport {
  /** Number of orders that the endpoint has accepted since its start. */
  readonly acceptedOrders: number;
  readonly isBusy: boolean;
  readonly layers?: LayerRange | undefined;
  /** 1 is the usual speed, more is slower. */
  readonly pace: number;
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  readonly bornAt: number;
  /** Addresses that requests of this endpoint wait for in vain. */
  readonly stalledAddresses: readonly string[];
  /** The endpoint says that it is leaving. */
  readonly isLeaving: boolean;
}

/** One hop of a request through endpoints that each hold a part of the layers. */
export interface PathHop {
  readonly endpoint: string;
  readonly address: string;
  readonly range: LayerRange;
}

/** A node as other nodes know it. */
export interface NodeRecord {
  readonly name: string;
  readonly availabilityZone: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Unix time of the node's start in milliseconds; a later start replaces an earlier one. */
  readonly incarnation: number;
  readonly isLeaving: boolean;
}
