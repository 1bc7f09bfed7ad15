/**
 * Log of revertible changes, from which a store stand-in restores an earlier state.
 */

/** Log of changes. */
export interface ChangeLog {
  /** Records how to revert a change that was just made. */
  readonly record: (revert: () => void) => void;
  /** Reverts all changes after a time, the latest first. */
  readonly revertSince: (at: number) => void;
}

interface RevertibleChange {
  readonly at: number;
  readonly revert: () => void;
}

/** Age of the oldest state that can be restored. */
const KEPT_MILLISECONDS = 60_000;

/**
 * Creates an empty log. It keeps the changes of the last minute at least.
 *
 * @param now - clock in milliseconds
 * @returns the log
 * @example
 * createChangeLog(() => performance.now()).record(() => items.delete(key));
 */
export function createChangeLog(now: () => number): ChangeLog {
  let changes: RevertibleChange[] = [];
  return {
    record: (revert) => {
      const at = now();
      changes.push({ at, revert });
      if ((changes[0]?.at ?? at) < at - 2 * KEPT_MILLISECONDS)
        changes = changes.filter((change) => change.at >= at - KEPT_MILLISECONDS);
    },
    revertSince: (at) => {
      while ((changes.at(-1)?.at ?? at) > at) changes.pop()?.revert();
    },
  };
}
