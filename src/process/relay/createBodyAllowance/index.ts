/**
 * Memory that the bodies of requests, or of answers, may take together.
 */

/** Memory held for one request. */
export interface HeldMemory {
  /** Takes more bytes; false when there are none left. */
  readonly add: (bytes: number) => boolean;
  /** Gives everything back, once. */
  readonly release: () => void;
}

/** Memory for bodies of one process. */
export interface BodyAllowance {
  readonly open: () => HeldMemory;
  /** Bytes that are held. */
  readonly countHeld: () => number;
}

/**
 * Creates an allowance.
 *
 * @param mostBytes - bytes that all bodies together may take
 * @returns the allowance
 * @example
 * createBodyAllowance(67_108_864).open().add(4_096); // true
 */
export function createBodyAllowance(mostBytes: number): BodyAllowance {
  let held = 0;
  return {
    open: () => {
      let own = 0;
      return {
        add: (bytes) => {
          if (held + bytes > mostBytes) return false;
          held += bytes;
          own += bytes;
          return true;
        },
        release: () => {
          held -= own;
          own = 0;
        },
      };
    },
    countHeld: () => held,
  };
}
