/**
 * Limit on the number of open caller connections, in total and from one address.
 *
 * Protects against callers that open connections without using them until no descriptor is left.
 */

/** Limit that a new connection would exceed. */
export type ExceededConnectionLimit = 'total' | 'address';

/** Limit on connections. */
export interface ConnectionLimit {
  /** Counts a new connection; returns the limit that it would exceed, and does not count it then. */
  readonly open: (address: string) => ExceededConnectionLimit | undefined;
  /** Counts the end of a connection that was counted. */
  readonly close: (address: string) => void;
  readonly countOpen: () => number;
}

/** Options of {@link createConnectionLimit}. */
export interface CreateConnectionLimitOptions {
  readonly maximumTotal: number;
  readonly maximumPerAddress: number;
}

/**
 * Creates a limit without open connections.
 *
 * @param options - maximum numbers of connections
 * @returns the limit
 * @example
 * createConnectionLimit({ maximumTotal: 2, maximumPerAddress: 1 }).open('127.0.0.1'); // undefined
 */
export function createConnectionLimit(options: CreateConnectionLimitOptions): ConnectionLimit {
  const { maximumTotal, maximumPerAddress } = options;
  const addresses = new Map<string, number>();
  let total = 0;
  return {
    open: (address) => {
      const held = addresses.get(address) ?? 0;
      if (total >= maximumTotal) return 'total';
      if (held >= maximumPerAddress) return 'address';
      total += 1;
      addresses.set(address, held + 1);
      return undefined;
    },
    close: (address) => {
      const held = addresses.get(address);
      if (held === undefined) return;
      total -= 1;
      if (held > 1) addresses.set(address, held - 1);
      else addresses.delete(address);
    },
    countOpen: () => total,
  };
}
