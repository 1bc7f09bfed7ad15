/**
 * Constants shared by several modules. Names end with their unit.
 */

/** Maximum size of a caller's request body, in bytes. */
export const MAXIMUM_BODY_BYTES = 1_048_576;

/** Maximum size of a header block, in bytes. */
export const MAXIMUM_HEADER_BYTES = 16_384;

/** Time within which a caller's complete body must arrive, in milliseconds. */
export const BODY_TIMEOUT_MILLISECONDS = 10_000;

/** Maximum size of a stored configuration shard, in bytes. */
export const MAXIMUM_SHARD_BYTES = 262_144;

/** Timeout of a call to the platform, in milliseconds. */
export const PLATFORM_TIMEOUT_MILLISECONDS = 1_000;

/** Time for which a platform watch waits for a change, in milliseconds. */
export const WATCH_TIMEOUT_MILLISECONDS = 20_000;

/** Interval between gossip rounds, in milliseconds. */
export const GOSSIP_ROUND_MILLISECONDS = 1_000;

/** Interval at which the load report of an engine is read, in milliseconds. */
export const REPORT_INTERVAL_MILLISECONDS = 1_000;

/** Interval at which the platform's VM list is read, in milliseconds. */
export const VM_LIST_INTERVAL_MILLISECONDS = 1_000;

/** Interval between passes over the pending orders to engines, in milliseconds. */
export const ORDER_INTERVAL_MILLISECONDS = 1_000;

/** Duration of a membership or claim lease, in milliseconds. */
export const LEASE_DURATION_MILLISECONDS = 10_000;

/** Time before the expiry of a lease from which its holder no longer acts, in milliseconds. */
export const LEASE_MARGIN_MILLISECONDS = 2_500;

/** Retention time of a stored booking response, in milliseconds. */
export const BOOKING_RETENTION_MILLISECONDS = 86_400_000;

/** Maximum size of a booking response stored for retries, in bytes. */
export const MAXIMUM_STORED_RESPONSE_BYTES = 16_384;

/** Deadline of a request that specifies none, in milliseconds. */
export const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** Maximum number of answer tokens of a request that specifies no limit. */
export const DEFAULT_MAXIMUM_ANSWER_TOKENS = 64;

export const MILLISECONDS_PER_SECOND = 1_000;
