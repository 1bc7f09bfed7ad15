/**
 * Rate limit of the requests to other nodes, by the reason for which they are sent.
 */

/** Options of {@link createPeerRequests}. */
export interface CreatePeerRequestsOptions {
  readonly now: () => number;
  /** Sends a request to an address. */
  readonly send: (address: string) => void;
}

/** Limited requests of one node. */
export interface PeerRequests {
  /** Sends a request, unless one was sent for the same reason within the interval. */
  readonly request: (reason: string, address: string) => void;
  /** The same with a longer interval, for what only peers know. */
  readonly requestRarely: (reason: string, address: string) => void;
  /** Forgets reasons whose interval has ended. */
  readonly dropOld: () => void;
}

/** Minimum interval between two requests for the same reason, in milliseconds. */
const INTERVAL_MILLISECONDS = 600;
const RARE_INTERVAL_MILLISECONDS = 2_000;

/**
 * Creates limited requests.
 *
 * @param options - the clock in milliseconds, and the function that sends a request
 * @returns the requests
 * @example
 * createPeerRequests({ now, send }).request('configuration', '10.0.0.1:7340');
 */
export function createPeerRequests({ now, send }: CreatePeerRequestsOptions): PeerRequests {
  const sentAt = new Map<string, number>();
  const requestAfter = (reason: string, address: string, interval: number): void => {
    if (now() - (sentAt.get(reason) ?? Number.NEGATIVE_INFINITY) < interval) return;
    sentAt.set(reason, now());
    send(address);
  };
  return {
    request: (reason, address) => {
      requestAfter(reason, address, INTERVAL_MILLISECONDS);
    },
    requestRarely: (reason, address) => {
      requestAfter(reason, address, RARE_INTERVAL_MILLISECONDS);
    },
    dropOld: () => {
      for (const [reason, at] of sentAt) {
        if (now() - at > RARE_INTERVAL_MILLISECONDS) sentAt.delete(reason);
      }
    },
  };
}
