/**
 * Limit on the memory that all request bodies, or all response bodies, use together.
 */

/** Memory that is reserved for one body. */
export interface MemoryReservation {
  /** Reserves more bytes; false when the limit is reached. */
  readonly add: (bytes: number) => boolean;
  /** Releases all reserved bytes; further calls have no effect. */
  readonly release: () => void;
}

/** Memory limit for the bodies of one process. */
export interface BodyMemoryLimit {
  readonly createReservation: () => MemoryReservation;
  /** Returns the number of reserved bytes. */
  readonly countReservedBytes: () => number;
}

/**
 * Creates a memory limit.
 *
 * @param maximumBytes - maximum size of all bodies together in bytes
 * @returns the memory limit
 * @example
 * createBodyMemoryLimit(67_108_864).createReservation().add(4_096); // true
 */
export function createBodyMemoryLimit(maximumBytes: number): BodyMemoryLimit {
  let totalBytes = 0;
  return {
    createReservation: () => {
      let reservedBytes = 0;
      return {
        add: (bytes) => {
          if (totalBytes + bytes > maximumBytes) return false;
          totalBytes += bytes;
          reservedBytes += bytes;
          return true;
        },
        release: () => {
          totalBytes -= reservedBytes;
          reservedBytes = 0;
        },
      };
    },
    countReservedBytes: () => totalBytes,
  };
}
