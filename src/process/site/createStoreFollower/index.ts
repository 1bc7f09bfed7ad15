/**
 * Follows the store's items: by watches of this node, or by changes that other nodes forward.
 */
import type { Store, StoreItem, StoreResult } from '../../../types/store/index.js';
import { describeError } from '../../describeError/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';
import { createStoreItems, type ItemCallback } from '../createStoreItems/index.js';

/**
 * How a node follows the store: by itself, also on behalf of other nodes, or through nodes that do so.
 */
export type FollowerRole = 'alone' | 'forOthers' | 'throughOthers';

/** Changes between two revisions of the store. */
export interface ChangeBatch {
  readonly after: number;
  readonly revision: number;
  readonly items: readonly StoreItem[];
  /** Whether items were omitted because of their length. */
  readonly isShortened: boolean;
}

/** Follower of the store. */
export interface StoreFollower {
  /** Runs one round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Whether the last call to the store succeeded, or another node forwarded changes after it. */
  readonly isReachable: () => boolean;
  /** Whether the store has been reachable for so long that missing items count as removed. */
  readonly isStable: () => boolean;
  /** Returns the revision up to which changes have been applied. */
  readonly getRevision: () => number;
  /** Returns how often the store has been restored from an older copy, as of the last read of all items. */
  readonly getEra: () => number;
  /** Removes an item immediately that is missing from the store but retained after an outage. */
  readonly confirmRemoval: (key: string) => void;
  /** Applies changes that another node read and forwarded. */
  readonly applyChanges: (batch: ChangeBatch) => void;
  /** Cancels the pending read of omitted items, because they arrived another way. */
  readonly clearPendingRead: () => void;
}

/** Options of {@link createStoreFollower}. */
export interface CreateStoreFollowerOptions {
  readonly store: Store;
  readonly logger: SiteLogger;
  readonly now: () => number;
  readonly onItem: ItemCallback;
  /** Lists the keys of items that other nodes reported while this one did not reach the store. */
  readonly listReported?: () => readonly string[];
  /** Returns the number of nodes that follow the store. */
  readonly countNodes: () => number;
  /** `alone` by default. */
  readonly getRole?: () => FollowerRole;
  /** Called with the changes of each watch while this node follows for others. */
  readonly onChanges?: (batch: ChangeBatch) => void;
}

/**
 * Maximum duration of a watch. A connection that is dead without a sign shows only after it, and nodes
 * have to apply a change within two seconds.
 */
const WATCH_MILLISECONDS = 1_200;
/** Number of nodes up to which the pauses between attempts stay short. */
const SMALL_SITE_NODES = 10;
/**
 * Pause between two watches per node, which batches changes, because each change wakes all nodes.
 */
const GATHER_MILLISECONDS_PER_NODE = 20;
const MAXIMUM_GATHER_MILLISECONDS = 600;
/**
 * Watch duration of a node that follows for others; short, because each result shows them that it
 * still follows.
 */
const RELAYED_WATCH_MILLISECONDS = 1_000;
const RELAYED_GATHER_MILLISECONDS = 300;
/**
 * Time without forwarded changes after which a node that follows through others watches the store
 * itself.
 */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_800;
/** Maximum pause between two checks whether the others still forward changes. */
const MAXIMUM_CHECK_PAUSE_MILLISECONDS = 400;
/**
 * Watch duration when changes were missed or the store did not respond: a watch that waits longer for
 * a change shows only then that the store was restored from an older copy.
 */
const CHECK_WATCH_MILLISECONDS = 50;
/** How long to wait for omitted items of a shortened batch before reading them from the store. */
const PENDING_READ_TIMEOUT_MILLISECONDS = 1_500;
/** Initial pause between attempts while the store does not respond; it doubles up to the limit. */
const FIRST_RETRY_MILLISECONDS = 200;
const RETRY_LIMIT_MILLISECONDS = 800;
/**
 * Addition to that limit per node beyond a few, and its maximum, because refused calls cost time as
 * well.
 */
const RETRY_LIMIT_MILLISECONDS_PER_NODE = 6;
const MAXIMUM_RETRY_LIMIT_MILLISECONDS = 2_000;
/**
 * Time after the store's recovery, or after its restoration from an older copy, in which entries that
 * expired or were lost may be written again.
 */
const RECOVERY_GRACE_MILLISECONDS = 2_200;
/**
 * Share of the items whose removal at once shows that they expired in an outage of the store. Fewer
 * are those of endpoints that have left.
 */
const OUTAGE_REMOVED_SHARE = 0.5;

/** Result of a call that did not return a value. */
type FailedResult = Exclude<StoreResult<unknown>, { readonly kind: 'done' }>;

function describeFailure(result: FailedResult): string {
  return 'reason' in result ? result.reason : result.kind;
}

/**
 * Creates a follower of all items of a store.
 *
 * It reads all items once, then watches for changes from that revision on. When the history of the
 * store has been compacted beyond that revision, or the store was restored from an older copy, it reads
 * all items again. Items that are missing after an outage or a restoration are retained for
 * {@link RECOVERY_GRACE_MILLISECONDS}, because their writers may not have written them again yet.
 *
 * @param options - the store, the clock and the callback for each change
 * @returns the follower
 * @example
 * createStoreFollower({ store, logger, now, onItem, countNodes }).step();
 */
export function createStoreFollower(options: CreateStoreFollowerOptions): StoreFollower {
  const { store, logger, now, countNodes } = options;
  const { getRole = () => 'alone', onChanges = () => undefined } = options;
  const { listReported = () => [] } = options;
  let revision = 0;
  let mustReadAll = true;
  let era: number | undefined;
  /** Whether a call showed that the store was restored after the last read of all items. */
  let wasRestored = false;
  let isReachable = false;
  let hadOutage = false;
  let recoveredAt = Number.NEGATIVE_INFINITY;
  let retryPause = FIRST_RETRY_MILLISECONDS;
  /** When this node was last up to date with the store. */
  let confirmedAt = Number.NEGATIVE_INFINITY;
  /** When the store last responded, to this node or to one that forwards changes. */
  let respondedAt = now();
  /** Whether the next watch has to end soon. */
  let isCheckDue = false;
  /** Whether the store may have been away unnoticed, because a kept connection did not respond. */
  let isOutagePossible = false;
  /**
   * Revision before the oldest item that a shortened batch omitted, and the time of the omission.
   */
  let pendingRead: { readonly after: number; readonly at: number } | undefined;
  /** Passes an item on; what it makes the node fail at must not keep the others from it. */
  const passItem: ItemCallback = (key, value, origin) => {
    try {
      options.onItem(key, value, origin);
    } catch (error) {
      logger.log('item-failed', { key, reason: describeError(error) });
    }
  };
  const items = createStoreItems({
    now,
    onItem: passItem,
    getRemovalTime: () => (hadOutage ? recoveredAt + RECOVERY_GRACE_MILLISECONDS : now()),
  });

  const recordResponse = (): void => {
    retryPause = FIRST_RETRY_MILLISECONDS;
    confirmedAt = now();
    respondedAt = now();
    if (isReachable) return;
    isReachable = true;
    recoveredAt = now();
    logger.log('store-reached', { revision });
  };
  /** Starts the time anew in which missing items are retained. */
  const retainMissingItems = (): void => {
    hadOutage = true;
    recoveredAt = now();
  };
  /**
   * Records a call that failed over a kept connection. That says little about the store, and the next call opens a new
   * connection, so that it need not wait.
   */
  const recordLostConnection = (reason: string): void => {
    isCheckDue = true;
    isOutagePossible = true;
    const silentMilliseconds = Math.round(now() - respondedAt);
    logger.log('store-connection-lost', { reason, revision, silentMilliseconds });
  };
  /** Records a failed call; returns the pause before the next one, in milliseconds. */
  const recordFailure = (result: FailedResult): number => {
    const reason = describeFailure(result);
    if (result.kind === 'unknown' && result.isReused) {
      recordLostConnection(reason);
      return 0;
    }
    isCheckDue = true;
    hadOutage = true;
    if (isReachable) {
      isReachable = false;
      logger.log('store-lost', { reason, revision });
    }
    const pause = retryPause;
    const addition =
      RETRY_LIMIT_MILLISECONDS_PER_NODE * Math.max(0, countNodes() - SMALL_SITE_NODES);
    const maximum = Math.min(MAXIMUM_RETRY_LIMIT_MILLISECONDS, RETRY_LIMIT_MILLISECONDS + addition);
    retryPause = Math.min(maximum, 2 * retryPause);
    return pause;
  };
  /** Retains the items that the first response after a lost connection removes, if they are too many to have left. */
  const checkForOutage = (computeRemovedShare: () => number): void => {
    if (isOutagePossible && computeRemovedShare() > OUTAGE_REMOVED_SHARE) retainMissingItems();
    isOutagePossible = false;
  };
  const readAll = async (): Promise<number> => {
    const result = await store.range('');
    if (result.kind !== 'done') return recordFailure(result);
    recordResponse();
    const { value } = result;
    const { era: newEra = 0 } = value;
    const isRestored = wasRestored || newEra > (era ?? newEra);
    if (isRestored) {
      retainMissingItems();
      logger.log('store-restored', { revision, newRevision: value.revision });
    }
    for (const key of listReported()) items.addReported(key);
    checkForOutage(() => items.computeMissingShare(value));
    items.applySnapshot(value, isRestored ? 'restored' : 'change');
    revision = value.revision;
    era = newEra;
    mustReadAll = false;
    wasRestored = false;
    pendingRead = undefined;
    // Nodes that follow through this one detect the gap and read all items as well.
    if (isRestored && getRole() === 'forOthers')
      onChanges({ after: revision, revision, items: [], isShortened: false });
    return 0;
  };
  /** Watches once; resolves to the changes, or to the pause after a failure in milliseconds. */
  const watch = async (after: number, maximum: number): Promise<ChangeBatch | number> => {
    const duration = isCheckDue ? Math.min(CHECK_WATCH_MILLISECONDS, maximum) : maximum;
    const nextRemoval = Math.min(items.getNextRemoval(), now() + duration);
    const waitMilliseconds = Math.max(1, Math.ceil(nextRemoval - now()));
    const result = await store.watch({ prefix: '', after, waitMilliseconds });
    if (result.kind === 'rejected') {
      logger.log('store-history-gone', { revision: after });
      mustReadAll = true;
      return 0;
    }
    if (result.kind === 'restored') {
      retainMissingItems();
      mustReadAll = true;
      wasRestored = true;
      return 0;
    }
    if (result.kind !== 'done') return recordFailure(result);
    recordResponse();
    isCheckDue = false;
    pendingRead = undefined;
    const { items: changes } = result.value;
    checkForOutage(() => items.computeRemovedShare(changes));
    for (const item of changes) items.apply(item);
    revision = Math.max(revision, result.value.revision);
    return {
      after,
      revision: Math.max(after, result.value.revision),
      items: changes,
      isShortened: false,
    };
  };
  const followAlone = async (after: number): Promise<number> => {
    const batch = await watch(after, WATCH_MILLISECONDS);
    if (typeof batch === 'number') return batch;
    return Math.min(MAXIMUM_GATHER_MILLISECONDS, GATHER_MILLISECONDS_PER_NODE * countNodes());
  };
  const followForOthers = async (after: number): Promise<number> => {
    const batch = await watch(after, RELAYED_WATCH_MILLISECONDS);
    if (typeof batch === 'number') return batch;
    onChanges(batch);
    return batch.items.length > 0 ? RELAYED_GATHER_MILLISECONDS : 0;
  };
  const followThroughOthers = async (after: number): Promise<number> => {
    const isOverdue =
      pendingRead !== undefined && now() - pendingRead.at > PENDING_READ_TIMEOUT_MILLISECONDS;
    const remaining = confirmedAt + CONFIRMATION_TIMEOUT_MILLISECONDS - now();
    if (remaining > 0 && !isOverdue) return Math.min(MAXIMUM_CHECK_PAUSE_MILLISECONDS, remaining);
    // The connection has been idle for long, and changes may have been missed: both show at once.
    const batch = await watch(pendingRead?.after ?? after, CHECK_WATCH_MILLISECONDS);
    return typeof batch === 'number' ? batch : 0;
  };
  const follow: Readonly<Record<FollowerRole, (after: number) => Promise<number>>> = {
    alone: followAlone,
    forOthers: followForOthers,
    throughOthers: followThroughOthers,
  };

  return {
    step: async () => {
      const pause = mustReadAll ? await readAll() : await follow[getRole()](revision);
      items.removeDue();
      return pause;
    },
    isReachable: () => isReachable,
    isStable: () => isReachable && now() - recoveredAt > RECOVERY_GRACE_MILLISECONDS,
    getRevision: () => revision,
    getEra: () => era ?? 0,
    confirmRemoval: items.confirmRemoval,
    applyChanges: ({ after, revision: lastRevision, items: changes, isShortened }) => {
      if (mustReadAll || lastRevision < revision) return;
      if (after > revision) {
        // Changes in between are missing; the next step reads them by a watch immediately.
        confirmedAt = Number.NEGATIVE_INFINITY;
        isCheckDue = true;
        return;
      }
      recordResponse();
      const before = revision;
      for (const item of changes) if (item.revision > before) items.apply(item);
      revision = lastRevision;
      if (isShortened) pendingRead ??= { after: before, at: now() };
    },
    clearPendingRead: () => {
      pendingRead = undefined;
    },
  };
}
