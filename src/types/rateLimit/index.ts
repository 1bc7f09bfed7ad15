/**
 * Rate limits that endpoints announce, and the permits to send requests within them.
 */

/** What an endpoint announced in a response: a limit for the requests of all nodes together, or none. */
export interface RateLimitFact {
  readonly endpoint: string;
  /** Unix time of the endpoint's start in milliseconds. */
  readonly startedAt: number;
  /** Requests per second; undefined when the endpoint announced no limit. */
  readonly requestsPerSecond: number | undefined;
  /** When a node received the response, in milliseconds on the clock of this node. */
  readonly heardAt: number;
}

/** Rate limit that an endpoint has announced. */
export interface RateLimit {
  readonly requestsPerSecond: number;
  /** When a node last received a response that announced it, in milliseconds on the clock of this node. */
  readonly heardAt: number;
  /** Since when this node knows a limit of the endpoint, in milliseconds on its clock. */
  readonly knownSince: number;
}

/** Request of a node for the permit to send one request to an endpoint. */
export interface PermitRequest {
  /** Number that the reply repeats. */
  readonly id: number;
  /** Limit as the requesting node knows it. */
  readonly fact: RateLimitFact & { readonly requestsPerSecond: number };
  /** Maximum time until the request may be sent, in milliseconds. */
  readonly maximumWaitMilliseconds: number;
}

/** Decision about a permit. */
export interface PermitDecision {
  readonly isGranted: boolean;
  /** Milliseconds until the request may be sent; of a denied permit: until one could be granted. */
  readonly waitMilliseconds: number;
}

/** Reply to a {@link PermitRequest}. */
export interface PermitReply extends PermitDecision {
  readonly id: number;
}
