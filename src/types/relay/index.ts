/**
 * Ports of the relay to callers and endpoints, independent of a site's protocol.
 */
import type { Socket } from 'node:net';
import type { EndpointReport, LayerRange, PathHop } from '../site/index.js';

/** Flat list of alternating header names and values, in the original order and letter case. */
export type RawHeaders = readonly string[];

/** Metadata that the headers of a caller's request carry. */
export interface RequestMetadata {
  /** Identifier of the attempt; empty when the caller sent none. */
  readonly attempt: string;
  readonly apiKey?: string | undefined;
  /** Time for which the caller waits for the response, in milliseconds. */
  readonly deadlineMilliseconds?: number | undefined;
  readonly promptTokens: number;
  readonly maximumAnswerTokens: number;
  /** Number of answer tokens that the caller expects. */
  readonly expectedAnswerTokens?: number | undefined;
  /** Number of the last event that the caller has received; 0 when it has received none. */
  readonly lastEventId: number;
  /**
   * Identifiers of the parts of the prompt in order. Requests share parts; the last part belongs to the
   * request or to its session. Empty when the caller sent none.
   */
  readonly promptParts: readonly string[];
}

/** Details that the node adds to a request that it forwards. */
export interface ForwardingDetails {
  readonly address: string;
  readonly account?: string | undefined;
  readonly endpoint: string;
  readonly deadlineMilliseconds: number;
  /** Priority from 0, the most urgent, to 9. */
  readonly priority?: number | undefined;
  readonly path?: readonly PathHop[] | undefined;
  readonly lastEventId?: number | undefined;
  /** Length of the body in bytes; undefined when there is no body. */
  readonly bodyBytes?: number | undefined;
  /**
   * Path of the endpoint's health requests, where one is to prove that a response without framing is complete;
   * undefined where nothing is to be asked that way.
   */
  readonly healthPath?: string | undefined;
}

/** Details of a request that a node hands over to a neighbour: another node, which relays it. */
export interface HandOverDetails {
  /** Address of the neighbour for other nodes. */
  readonly address: string;
  /** Identifier of the attempt; empty when the caller sent none. */
  readonly attempt: string;
  readonly deadlineMilliseconds: number;
  /** Number of the last event that was forwarded to the caller. */
  readonly lastEventId?: number | undefined;
  /** Whether the request has reached an endpoint before, so that sending it again takes from the retry budget. */
  readonly isRepeat: boolean;
  /** Version of the configuration that admitted the request. */
  readonly configurationVersion: number;
}

/** Metadata that the headers of an endpoint's response carry. */
export interface ResponseMetadata {
  readonly attempt?: string | undefined;
  /** Whether the response has the header that only endpoints set. */
  readonly isFromEndpoint: boolean;
  /** Whether the endpoint reports that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** Address of the endpoint that caused the failure, if the response names one. */
  readonly failedAddress?: string | undefined;
  readonly runningRequests?: number | undefined;
  readonly waitingRequests?: number | undefined;
  /** Whether the body has a content encoding. */
  readonly isEncoded: boolean;
  /** Whether the endpoint reports that it is leaving. */
  readonly isLeaving: boolean;
  /** Time in which this node must send the endpoint no requests; undefined when none is requested. */
  readonly backoff?: BackoffRequest | undefined;
  /** What the endpoint announced; undefined where the response may be of another endpoint. */
  readonly rateLimit?: AnnouncedRateLimit | undefined;
}

/** Rate limit that an endpoint announces in a response, for the requests of all nodes together. */
export interface AnnouncedRateLimit {
  /** Requests per second; undefined when it announces none. */
  readonly requestsPerSecond: number | undefined;
}

/** Backoff that an endpoint requests: a time in milliseconds, or a text that is not a valid time. */
export type BackoffRequest =
  | { readonly kind: 'timed'; readonly milliseconds: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** Outcome of an order to an endpoint. */
export type OrderOutcome = 'begun' | 'done' | 'conflict' | 'refused' | 'unknown';

/** Order to an endpoint to load and host a range of layers. */
export interface LayerOrder {
  readonly endpoint: string;
  readonly address: string;
  readonly range: LayerRange;
  /** Number of earlier orders that the endpoint must have accepted; another number is a conflict. */
  readonly acceptedOrders: number;
}

/** Translator between the headers of a site's protocol and the types of the relay. */
export interface HeaderTranslator {
  readonly parseRequestHeaders: (headers: NodeJS.Dict<string | string[]>) => RequestMetadata;
  /** Builds the headers for the endpoint, without hop-by-hop headers. */
  readonly buildRequestHeaders: (
    callerHeaders: RawHeaders,
    forwarding: ForwardingDetails,
  ) => string[];
  /** Builds the headers of a request that is handed over, with those that the neighbour reads from a caller. */
  readonly buildHandOverHeaders: (
    callerHeaders: RawHeaders,
    details: HandOverDetails,
    bodyBytes: number | undefined,
  ) => string[];
  readonly parseResponseHeaders: (
    status: number,
    headers: NodeJS.Dict<string | string[]>,
  ) => ResponseMetadata;
  /** Builds the headers for the caller, without hop-by-hop headers. */
  readonly buildResponseHeaders: (endpointHeaders: RawHeaders) => string[];
}

/** Control calls to endpoints. */
export interface EndpointControl {
  /** Fetches the report of an endpoint; undefined when there is no valid reply within a time in milliseconds. */
  readonly fetchReport: (
    address: string,
    timeoutMilliseconds?: number,
  ) => Promise<EndpointReport | undefined>;
  readonly sendOrder: (order: LayerOrder) => Promise<OrderOutcome>;
  /** Migrates a running request to another path with the same first hop. */
  readonly movePath: (attempt: string, path: readonly PathHop[]) => Promise<OrderOutcome>;
}

/** Health request to an endpoint. */
export interface InstanceQuery {
  /** Identifier of the endpoint that is expected to answer. */
  readonly endpoint: string;
  readonly address: string;
  readonly healthPath: string;
  readonly timeoutMilliseconds: number;
}

/** Who answered a health request: the expected endpoint, another one, or a process that names no endpoint. */
export type InstanceAnswer = 'same' | 'other' | 'unnamed';

/** Health requests of a site. */
export interface InstanceProtocol {
  /** Sends a health request on a connection; undefined when no answer arrives in time. */
  readonly requestInstance: (
    connection: Socket,
    query: InstanceQuery,
  ) => Promise<InstanceAnswer | undefined>;
}

/** Whether the process that sent a response still ran after the response ended. */
export type LivenessResult = 'alive' | 'ended' | 'unknown';

/** Second connection to an endpoint, opened when the head of a response without framing has arrived. */
export interface LivenessCheck {
  /** Records that the connection of the response has ended. */
  readonly recordResponseEnd: () => void;
  /** Asks the endpoint after the end of the response, once; closes the connection. */
  readonly confirm: (query: InstanceQuery) => Promise<LivenessResult>;
  readonly close: () => void;
}

/** Protocol between nodes and the callers and endpoints of a site. */
export interface SiteProtocol extends HeaderTranslator, EndpointControl, InstanceProtocol {}

/** Caller's request as it is forwarded, unchanged. */
export interface ForwardedRequest {
  readonly method: string;
  readonly url: string;
  readonly rawHeaders: RawHeaders;
  readonly body: Buffer | undefined;
}

/** Head of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  readonly metadata: ResponseMetadata;
  /** Headers for the caller, without `Content-Length`. */
  readonly headers: RawHeaders;
}

/** Whether a failed request may have reached the endpoint. */
export type SendState = 'notSent' | 'sent';

/**
 * What marked the end of a response: its length or its chunks, or only the end of its connection, which
 * the crash of an endpoint may have caused as well.
 */
export type ResponseEnd = 'framing' | 'connection';

/** Callbacks of a call to an endpoint; none is called after `onEnd` or `onFailure`. */
export interface EndpointCallHandlers {
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (chunk: Buffer) => void;
  /**
   * Called when the response is complete, as far as its framing tells; with a liveness check where the end is that of
   * the connection and a health path was given.
   */
  readonly onEnd: (end: ResponseEnd, livenessCheck?: LivenessCheck) => void;
  readonly onFailure: (state: SendState, reason: string) => void;
}

/** Call to an endpoint in progress. */
export interface EndpointCall {
  /** Aborts the call; no callback is called afterwards. */
  readonly abort: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Port to the endpoints of a site: forwards requests and sends control calls. */
export interface EndpointPort extends EndpointControl {
  /** Checks whether a process accepts connections at an address. */
  readonly isListening: (address: string) => Promise<boolean>;
  readonly send: (
    request: ForwardedRequest,
    forwarding: ForwardingDetails,
    handlers: EndpointCallHandlers,
  ) => EndpointCall;
}

/** Port to the nodes that a request may be handed over to. */
export interface NeighbourPort {
  /** Hands a request over; a refusal of the neighbour counts as one of an endpoint. */
  readonly send: (
    request: ForwardedRequest,
    details: HandOverDetails,
    handlers: EndpointCallHandlers,
  ) => EndpointCall;
}

/**
 * Why a response is aborted: a stream whose endpoint ended it, a stream whose run the node gave up, or an
 * internal error.
 */
export type AbortCause = 'interrupted' | 'abandoned' | 'crashed';

/** Port to one caller that waits for a response. */
export interface CallerResponse {
  /** Returns whether the caller is connected and no response has begun. */
  readonly isOpen: () => boolean;
  readonly begin: (status: number, headers: RawHeaders) => void;
  readonly write: (bytes: Buffer) => void;
  readonly end: (bytes?: Buffer | string) => void;
  /** Aborts the response, so that the caller does not take it for complete. */
  readonly abort: (cause: AbortCause) => void;
  /** Returns the number of bytes that the caller has yet to read. */
  readonly countBufferedBytes: () => number;
  /** Registers a callback that runs once when the buffered bytes have been sent. */
  readonly onceDrained: (action: () => void) => void;
  /** Registers a callback for a caller that disconnects before the end of its response. */
  readonly onDisconnect: (action: () => void) => void;
}
