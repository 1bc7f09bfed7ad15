/**
 * Health of a node's links to endpoints, by the connections that it tried.
 *
 * A node that connects to nearly none of several endpoints is more likely cut off itself than all of them have ended.
 */

/** Health of the links of one node. */
export interface LinkHealth {
  /** Records whether a connection that was begun at a time in milliseconds was established. */
  readonly record: (endpoint: string, isConnected: boolean, startedAt: number) => void;
  /** Returns whether more of the endpoints that were tried recently are out of reach than not. */
  readonly isSuspect: (now: number) => boolean;
  /** Returns whether this node is cut off from nearly all endpoints. */
  readonly isIsolated: (now: number) => boolean;
  /** Returns when the last connection to an endpoint that was established began, in milliseconds. */
  readonly findConnectedAt: (endpoint: string) => number | undefined;
  /**
   * Returns whether an endpoint was tried recently: by default within the time for which connections count, else since a
   * time in milliseconds.
   */
  readonly isKnown: (endpoint: string, now: number, since?: number) => boolean;
}

/** Time for which a connection that was tried counts, in milliseconds. */
const EVIDENCE_MILLISECONDS = 1_000;
/** Number of endpoints that have to be tried before a node counts itself as cut off. */
const MINIMUM_ENDPOINTS = 3;
/** Shares of the tried endpoints out of reach from which a node is cut off, and up to which it is no longer. */
const ISOLATED_SHARE = 0.8;
const CONNECTED_SHARE = 0.5;
/** Number of endpoints out of reach from which the links are in doubt. */
const SUSPECT_ENDPOINTS = 2;
const MAXIMUM_ENDPOINTS = 4_096;

interface LinkRecord {
  connectedAt: number | undefined;
  failedAt: number | undefined;
}

function findLatest({ connectedAt, failedAt }: LinkRecord): number {
  return Math.max(connectedAt ?? Number.NEGATIVE_INFINITY, failedAt ?? Number.NEGATIVE_INFINITY);
}

function isFailing({ connectedAt, failedAt }: LinkRecord): boolean {
  return failedAt !== undefined && failedAt > (connectedAt ?? Number.NEGATIVE_INFINITY);
}

/**
 * Creates the health of links of which none was tried.
 *
 * @returns the health
 * @example
 * createLinkHealth().isIsolated(now); // false
 */
export function createLinkHealth(): LinkHealth {
  const links = new Map<string, LinkRecord>();
  let wasIsolated = false;
  const count = (now: number): { readonly tried: number; readonly failing: number } => {
    const recent = [...links.values()].filter(
      (link) => now - findLatest(link) <= EVIDENCE_MILLISECONDS,
    );
    return { tried: recent.length, failing: recent.filter(isFailing).length };
  };
  return {
    record: (endpoint, isConnected, startedAt) => {
      if (links.size >= MAXIMUM_ENDPOINTS && !links.has(endpoint)) links.clear();
      const link = links.get(endpoint) ?? { connectedAt: undefined, failedAt: undefined };
      links.set(endpoint, link);
      const key = isConnected ? 'connectedAt' : 'failedAt';
      link[key] = Math.max(link[key] ?? startedAt, startedAt);
    },
    isSuspect: (now) => {
      const { tried, failing } = count(now);
      return failing >= SUSPECT_ENDPOINTS && failing > tried / 2;
    },
    isIsolated: (now) => {
      const { tried, failing } = count(now);
      const share = wasIsolated ? CONNECTED_SHARE : ISOLATED_SHARE;
      // Without recent connections, what was found last holds.
      if (tried > 0 && (wasIsolated || tried >= MINIMUM_ENDPOINTS))
        wasIsolated = failing >= share * tried;
      return wasIsolated;
    },
    findConnectedAt: (endpoint) => links.get(endpoint)?.connectedAt,
    isKnown: (endpoint, now, since = now - EVIDENCE_MILLISECONDS) => {
      const link = links.get(endpoint);
      return link !== undefined && findLatest(link) >= since;
    },
  };
}
