/**
 * Memory that the bodies of requests, or of answers, may take together.
 */

/** Memory held for one request. */
export interface MemoryReservation {
  /** Takes more bytes; false when there are none left. */
  readonly add: (bytes: number) => boolean;
  /** Gives everything back, once. */
  readonly release: () => void;
}

/** Memory for bodies of one process. */
export interface BodyMemoryLimit {
  readonly createReservation: () => MemoryReservation;
  /** Bytes that are held. */
  readonly countReservedBytes: () => number;
}

/**
 * Creates an allowance.
 *
 * @param maximumBytes - bytes that all bodies together may take
 * @returns the allowance
 * @example
 * createBodyAllowance(67_108_864).createReservation().add(4_096); // true
 */
export function createBodyAllowance(maximumBytes: number): BodyMemoryLimit {
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
