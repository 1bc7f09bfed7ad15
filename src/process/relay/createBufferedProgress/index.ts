/**
 * Progress of the sends of one request whose response is a complete body.
 */
import type { BufferedResponse } from '../sendFailure/index.js';

/** Progress of one request. */
export interface BufferedProgress {
  /** Endpoints that the request was sent to, or that accepted no connection. */
  readonly tried: Set<string>;
  /** Endpoints that have denied a permit. */
  readonly denied: Set<string>;
  /** Nodes that the request was handed over to. */
  readonly neighbours: Set<string>;
  sends: number;
  refused: number;
  failedConnections: number;
  mayHaveRun: boolean;
  timedOut: boolean;
  /** Last failure response of an endpoint, which is forwarded when no send succeeds. */
  fallback: BufferedResponse | undefined;
  reason: string;
  /** Time after which the caller of a blocked request may retry, in seconds. */
  blockedSeconds: number | undefined;
  /** Time after which the caller may retry according to the node that refused the request, in milliseconds. */
  retryMilliseconds: number | undefined;
}

/**
 * Creates the progress of a request that was not sent yet.
 *
 * @returns the progress, which the sends change
 * @example
 * createBufferedProgress().sends; // 0
 */
export function createBufferedProgress(): BufferedProgress {
  return {
    tried: new Set(),
    denied: new Set(),
    neighbours: new Set(),
    sends: 0,
    refused: 0,
    failedConnections: 0,
    mayHaveRun: false,
    timedOut: false,
    fallback: undefined,
    reason: 'no endpoint',
    blockedSeconds: undefined,
    retryMilliseconds: undefined,
  };
}
