/**
 * Ports of the relay: how requests, answers and orders look on the wire of a site.
 */
import type { EndpointReport, LayerRange, PathHop } from '../site/index.js';

/** Headers as a flat list of names and values, in order, in the caller's spelling. */
export type RawHeaders = readonly string[];

/** What a caller's headers say. */
export interface CallerRequest {
  /** Identifier of this attempt; empty when the caller sent none. */
  readonly attempt: string;
  readonly key?: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMilliseconds?: number | undefined;
  readonly promptTokens: number;
  readonly mostAnswerTokens: number;
  /** The caller's estimate of the answer's tokens. */
  readonly hintedAnswerTokens?: number | undefined;
  /** Last event that the caller already has; 0 when it has none. */
  readonly lastEvent: number;
}

/** What the node adds to a request that it passes on. */
export interface PassedOn {
  readonly address: string;
  readonly account?: string | undefined;
  readonly endpoint: string;
  readonly deadlineMilliseconds: number;
  /** From 0, the most urgent, to 9. */
  readonly priority?: number | undefined;
  readonly path?: readonly PathHop[] | undefined;
  readonly lastEvent?: number | undefined;
  /** Length of the body; undefined when there is none. */
  readonly bodyBytes?: number | undefined;
}

/** What an endpoint's answer says in its headers. */
export interface EndpointAnswer {
  readonly attempt?: string | undefined;
  readonly isSealed: boolean;
  /** The endpoint says that the request did not run. */
  readonly isNotRun: boolean;
  /** Address of the endpoint that is at fault, if it is named. */
  readonly faultyAddress?: string | undefined;
  readonly running?: number | undefined;
  readonly waiting?: number | undefined;
  readonly isEncoded: boolean;
  /** The endpoint says that it is leaving. */
  readonly isLeaving: boolean;
  /** How long the endpoint wants no requests of this node; undefined when it did not ask for rest. */
  readonly rest?: RestDemand | undefined;
}

/** A demand for rest: its time in milliseconds, or the text that cannot be read as one. */
export type RestDemand =
  | { readonly kind: 'timed'; readonly milliseconds: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** Outcome of an order. */
export type OrderOutcome = 'begun' | 'done' | 'conflict' | 'refused' | 'unknown';

/** An order to hold a range of layers. */
export interface PlaceOrder {
  readonly endpoint: string;
  readonly address: string;
  readonly range: LayerRange;
  /** Number of orders that the endpoint must have accepted before. */
  readonly acceptedOrders: number;
}

/** Translation of headers between a site's wire and the relay. */
export interface HeaderTranslation {
  readonly readRequest: (headers: NodeJS.Dict<string | string[]>) => CallerRequest;
  /** Headers for the endpoint, without those that concern one connection only. */
  readonly buildRequestHeaders: (callerHeaders: RawHeaders, passedOn: PassedOn) => string[];
  readonly readAnswer: (status: number, headers: NodeJS.Dict<string | string[]>) => EndpointAnswer;
  /** Headers for the caller, without those that concern one connection only. */
  readonly buildAnswerHeaders: (endpointHeaders: RawHeaders) => string[];
}

/** Questions and orders to endpoints. */
export interface EndpointControl {
  readonly askReport: (address: string) => Promise<EndpointReport | undefined>;
  readonly sendOrder: (order: PlaceOrder) => Promise<OrderOutcome>;
  /** Moves a running request to another path with the same first hop. */
  readonly movePath: (attempt: string, path: readonly PathHop[]) => Promise<OrderOutcome>;
}

/** All that is spoken with a site's callers and endpoints. */
export interface Wire extends HeaderTranslation, EndpointControl {}

/** A caller's request as it is passed on: nothing in it is changed. */
export interface ForwardedRequest {
  readonly method: string;
  readonly url: string;
  readonly rawHeaders: RawHeaders;
  readonly body: Buffer | undefined;
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly facts: EndpointAnswer;
  /** Headers for the caller, without the length. */
  readonly headers: RawHeaders;
}

/** How far a request that failed had come. */
export type SendState = 'notSent' | 'sent';

/** What happens on a call to an endpoint; nothing comes after `onEnd` or `onFailure`. */
export interface EndpointHandlers {
  readonly onHead: (head: AnswerHead) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The answer is whole. */
  readonly onEnd: () => void;
  readonly onFailure: (state: SendState, reason: string) => void;
}

/** A call to an endpoint that is under way. */
export interface EndpointCall {
  /** Ends the call; no handler is called any more. */
  readonly abort: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Port to the endpoints of a site. */
export interface EndpointPort extends EndpointControl {
  readonly send: (
    request: ForwardedRequest,
    passedOn: PassedOn,
    handlers: EndpointHandlers,
  ) => EndpointCall;
}

/** Port to one caller that waits for an answer. */
export interface CallerResponse {
  /** Whether the caller is there and no answer has begun. */
  readonly isOpen: () => boolean;
  readonly begin: (status: number, headers: RawHeaders) => void;
  readonly write: (bytes: Buffer) => void;
  readonly end: (bytes?: Buffer | string) => void;
  /** Breaks the answer off, so that it does not look whole. */
  readonly abort: () => void;
  /** Bytes that wait for a slow reader. */
  readonly countWaiting: () => number;
  readonly onceDrained: (action: () => void) => void;
  /** Calls back when the caller has gone before the end of its answer. */
  readonly onGone: (action: () => void) => void;
}
