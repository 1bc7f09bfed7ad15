/**
 * Constants shared by more than one module. Names end with their unit.
 */

/** Longest accepted caller body in bytes. */
export const MAXIMUM_BODY_BYTES = 1_048_576;

/** Longest accepted header block in bytes. */
export const MAXIMUM_HEADER_BYTES = 16_384;

/** Time within which a caller's whole body has to arrive, in milliseconds. */
export const BODY_TIMEOUT_MILLISECONDS = 10_000;

/** Largest stored shard of the configuration in bytes. */
export const MAXIMUM_SHARD_BYTES = 262_144;

/** Time allowed for one call to the platform, in milliseconds. */
export const PLATFORM_TIMEOUT_MILLISECONDS = 1_000;

/** Time for which a platform watch waits for a change, in milliseconds. */
export const WATCH_WAIT_MILLISECONDS = 20_000;

/** Time between two rounds of gossip, in milliseconds. */
export const GOSSIP_ROUND_MILLISECONDS = 1_000;

/** Time between two load reports read from one engine, in milliseconds. */
export const REPORT_INTERVAL_MILLISECONDS = 1_000;

/** Time between two readings of the platform's VM list, in milliseconds. */
export const VM_LIST_INTERVAL_MILLISECONDS = 1_000;

/** Time between two passes over the orders owed to engines, in milliseconds. */
export const ORDER_INTERVAL_MILLISECONDS = 1_000;

/** Length of a membership or claim lease, in milliseconds. */
export const LEASE_MILLISECONDS = 10_000;

/** Part of a lease at its end in which its holder no longer acts, in milliseconds. */
export const LEASE_MARGIN_MILLISECONDS = 2_500;

/** Time for which a stored booking answer is kept, in milliseconds. */
export const BOOKING_RETENTION_MILLISECONDS = 86_400_000;

/** Longest booking answer kept for retries, in bytes. */
export const MAXIMUM_STORED_ANSWER_BYTES = 16_384;

/** Deadline of a request whose caller names none, in milliseconds. */
export const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** Largest number of tokens in an answer whose caller names no limit. */
export const DEFAULT_MAXIMUM_TOKENS = 64;

/** Milliseconds of a second. */
export const MILLISECONDS_PER_SECOND = 1_000;
