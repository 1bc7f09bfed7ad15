/**
 * Limits on what callers make a process hold, derived from the memory and descriptors that it may use.
 */

/** Limits of the caller connections of one process. */
export interface ConnectionLimits {
  /** Memory of all connections together, in bytes. */
  readonly memoryBytes: number;
  /** Memory of one connection, in bytes. */
  readonly connectionBytes: number;
  /** Memory of all connections of one client account, in bytes. */
  readonly accountBytes: number;
  readonly connections: number;
  readonly connectionsPerAddress: number;
  /** Requests of one connection without a complete response, beyond which no further one is parsed. */
  readonly pipelinedRequests: number;
  /** Pieces in which one body may arrive. */
  readonly bodyChunks: number;
  /** Time for which a response may wait while its caller reads nothing, in milliseconds. */
  readonly unreadMilliseconds: number;
  /** Time without progress after which a connection may be closed to make room for others, in milliseconds. */
  readonly stallMilliseconds: number;
}

/** What a process may use. */
export interface ProcessResources {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** Share of the memory of a process that callers may make it hold; the rest is for code, tables and garbage. */
const MEMORY_SHARE = 0.4;
const CONNECTION_SHARE = 1 / 4;
const ACCOUNT_SHARE = 1 / 2;
/** Descriptors for endpoints, other nodes, the store, the operators' port and the process itself: a number and a share. */
const RESERVED_DESCRIPTORS = 48;
const RESERVED_DESCRIPTOR_SHARE = 1 / 16;
/** Each request may need a second descriptor for its endpoint. */
const DESCRIPTORS_PER_CONNECTION = 2;
/** Maximum number of caller connections, whatever the descriptors. */
const MAXIMUM_CONNECTIONS = 1_800;
const PIPELINED_REQUESTS = 4;
/** A body of 4 MiB may arrive in chunks of one byte. */
const BODY_CHUNKS = 4_194_304;
/** Time for which a response may wait while its caller reads nothing, in milliseconds. */
const UNREAD_MILLISECONDS = 30_000;
const STALL_MILLISECONDS = 1_000;

/**
 * Derives limits. Callers behind one gateway share its address, so that an address may have all connections.
 *
 * @param resources - memory in bytes and number of descriptors of the process
 * @param settings - limits that replace the derived ones
 * @returns the limits
 * @example
 * deriveCallerLimits({ memoryBytes: 262_144_000, descriptors: 4_100 }).connections; // 1,800
 */
export function deriveCallerLimits(
  { memoryBytes, descriptors }: ProcessResources,
  settings: { readonly [Name in keyof ConnectionLimits]?: ConnectionLimits[Name] | undefined } = {},
): ConnectionLimits {
  const total = settings.memoryBytes ?? Math.floor(memoryBytes * MEMORY_SHARE);
  const reserved = Math.ceil(RESERVED_DESCRIPTORS + descriptors * RESERVED_DESCRIPTOR_SHARE);
  const affordable = Math.floor((descriptors - reserved) / DESCRIPTORS_PER_CONNECTION);
  const connections =
    settings.connections ?? Math.max(1, Math.min(MAXIMUM_CONNECTIONS, affordable));
  return {
    memoryBytes: total,
    connectionBytes: settings.connectionBytes ?? Math.floor(total * CONNECTION_SHARE),
    accountBytes: settings.accountBytes ?? Math.floor(total * ACCOUNT_SHARE),
    connections,
    connectionsPerAddress: settings.connectionsPerAddress ?? connections,
    pipelinedRequests: settings.pipelinedRequests ?? PIPELINED_REQUESTS,
    bodyChunks: settings.bodyChunks ?? BODY_CHUNKS,
    unreadMilliseconds: settings.unreadMilliseconds ?? UNREAD_MILLISECONDS,
    stallMilliseconds: settings.stallMilliseconds ?? STALL_MILLISECONDS,
  };
}
