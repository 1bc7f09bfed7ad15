/**
 * Following of the store's items: by watches of this node, or through other nodes that watch.
 */
import type { Store, StoreItem } from '../../../types/store/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';

/**
 * How a node follows the store: by itself, for other nodes too, or through nodes that do so.
 */
export type FollowerRole = 'alone' | 'forOthers' | 'throughOthers';

/** Changes between two revisions of the store. */
export interface ChangeBatch {
  readonly after: number;
  readonly revision: number;
  readonly items: readonly StoreItem[];
  /** Whether items are left out for their length. */
  readonly isShortened: boolean;
}

/** Follower of the store. */
export interface StoreFollower {
  /** One round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Whether the last call was answered. */
  readonly isReachable: () => boolean;
  /** Whether the store has answered for so long that what is missing there is gone. */
  readonly isStable: () => boolean;
  /** Revision up to which changes have been seen. */
  readonly getRevision: () => number;
  /** Removes an item at once that is missing but was kept for a time after an outage. */
  readonly confirmRemoval: (key: string) => void;
  /** Takes changes that another node read and passed on. */
  readonly applyChanges: (batch: ChangeBatch) => void;
  /** Notes that what a shortened batch left out has come another way. */
  readonly clearPendingRead: () => void;
}

/** Options of {@link createStoreFollower}. */
export interface CreateStoreFollowerOptions {
  readonly store: Store;
  readonly logger: SiteLogger;
  readonly now: () => number;
  readonly onItem: (key: string, value: Buffer | undefined) => void;
  /** Nodes that follow the store. */
  readonly countNodes: () => number;
  /** `alone` by default. */
  readonly getRole?: () => FollowerRole;
  /** Called with what a watch told while this node follows for others. */
  readonly onChanges?: (batch: ChangeBatch) => void;
}

/** A watch returns after this time at the latest, so that a silent connection is noticed soon. */
const WATCH_MILLISECONDS = 2_500;
/** Longer watches of many nodes, which also learn from each other: more for each node, at most. */
const WATCH_MILLISECONDS_PER_NODE = 60;
const MAXIMUM_WATCH_MILLISECONDS = 6_000;
/** Nodes up to which watches stay short. */
const SMALL_SITE_NODES = 10;
/** Pause between two watches for each node, in which changes gather: each change wakes all nodes. */
const GATHER_MILLISECONDS_PER_NODE = 20;
const MAXIMUM_GATHER_MILLISECONDS = 600;
/** Watches of a node that follows for others: short, since each answer tells them that it still does. */
const RELAYED_WATCH_MILLISECONDS = 1_000;
const RELAYED_GATHER_MILLISECONDS = 300;
/** How long a node that follows through others goes without hearing from them before it watches. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_800;
/** Longest pause between two looks at whether the others still tell. */
const MAXIMUM_CHECK_PAUSE_MILLISECONDS = 400;
/** How long what a shortened batch left out may take to come another way. */
const PENDING_READ_TIMEOUT_MILLISECONDS = 1_500;
/** Pauses before the next try while the store does not answer. */
const FIRST_RETRY_MILLISECONDS = 200;
const RETRY_LIMIT_MILLISECONDS = 800;
/** More of the longest pause for each node beyond a few, and at most: refused calls cost, too. */
const RETRY_LIMIT_MILLISECONDS_PER_NODE = 6;
const MAXIMUM_RETRY_LIMIT_MILLISECONDS = 2_000;
/** Time after the store's return in which entries that lapsed meanwhile may come back. */
const RECOVERY_GRACE_MILLISECONDS = 2_200;

/**
 * Creates a follower of all items of a store.
 *
 * It reads everything once, then watches for changes from that revision on; when that history is
 * gone, it reads everything again. Items that are missing after an outage are kept for
 * {@link RECOVERY_GRACE_MILLISECONDS}, since their writers may not have come back yet.
 *
 * @param options - the store, the clock and what to call for each change
 * @returns the follower
 * @example
 * createStoreFollower({ store, logger, now, onItem }).step();
 */
export function createStoreFollower(options: CreateStoreFollowerOptions): StoreFollower {
  const { store, logger, now, onItem, countNodes } = options;
  const { getRole = () => 'alone', onChanges = () => undefined } = options;
  const known = new Set<string>();
  const removals = new Map<string, number>();
  let revision: number | undefined;
  let isReachable = false;
  let hadOutage = false;
  let recoveredAt = Number.NEGATIVE_INFINITY;
  let retryPause = FIRST_RETRY_MILLISECONDS;
  /** When this node last knew that nothing was missing. */
  let confirmedAt = Number.NEGATIVE_INFINITY;
  /** Revision before the oldest item that a shortened batch left out, and when that was. */
  let pendingRead: { readonly after: number; readonly at: number } | undefined;

  const remove = (key: string): void => {
    known.delete(key);
    removals.delete(key);
    onItem(key, undefined);
  };
  const removeDue = (): void => {
    for (const [key, dueAt] of removals) if (dueAt <= now()) remove(key);
  };
  const scheduleRemoval = (key: string): void => {
    if (!known.has(key)) return;
    const dueAt = hadOutage ? recoveredAt + RECOVERY_GRACE_MILLISECONDS : now();
    if (dueAt <= now()) remove(key);
    else if (!removals.has(key)) removals.set(key, dueAt);
  };
  const apply = ({ key, value }: StoreItem): void => {
    if (value === undefined) {
      scheduleRemoval(key);
      return;
    }
    known.add(key);
    removals.delete(key);
    onItem(key, value);
  };
  const recordResponse = (): void => {
    retryPause = FIRST_RETRY_MILLISECONDS;
    confirmedAt = now();
    if (isReachable) return;
    isReachable = true;
    recoveredAt = now();
    logger.log('store-reached', { revision: revision ?? 0 });
  };
  const recordFailure = (reason: string): number => {
    if (isReachable) {
      isReachable = false;
      hadOutage = true;
      logger.log('store-lost', { reason, revision: revision ?? 0 });
    }
    const pause = retryPause;
    const more = RETRY_LIMIT_MILLISECONDS_PER_NODE * Math.max(0, countNodes() - SMALL_SITE_NODES);
    const longest = Math.min(MAXIMUM_RETRY_LIMIT_MILLISECONDS, RETRY_LIMIT_MILLISECONDS + more);
    retryPause = Math.min(longest, 2 * retryPause);
    return pause;
  };
  const readAll = async (): Promise<number> => {
    const result = await store.range('');
    if (result.kind !== 'done')
      return recordFailure(result.kind === 'rejected' ? 'rejected' : result.reason);
    recordResponse();
    const present = new Set(result.value.items.map(({ key }) => key));
    for (const item of result.value.items) apply(item);
    for (const key of [...known]) if (!present.has(key)) scheduleRemoval(key);
    revision = result.value.revision;
    return 0;
  };
  /** One watch; resolves to its changes, or to the pause after a failure. */
  const watch = async (after: number, longest: number): Promise<ChangeBatch | number> => {
    const nextRemoval = Math.min(...removals.values(), now() + longest);
    const waitMilliseconds = Math.max(1, Math.ceil(nextRemoval - now()));
    const result = await store.watch({ prefix: '', after, waitMilliseconds });
    if (result.kind === 'rejected') {
      logger.log('store-history-gone', { revision: after });
      revision = undefined;
      return 0;
    }
    if (result.kind !== 'done') return recordFailure(result.reason);
    recordResponse();
    pendingRead = undefined;
    const { items } = result.value;
    for (const item of items) apply(item);
    revision = Math.max(revision ?? after, result.value.revision);
    return { after, revision: Math.max(after, result.value.revision), items, isShortened: false };
  };
  const followAlone = async (after: number): Promise<number> => {
    const longest = Math.min(
      MAXIMUM_WATCH_MILLISECONDS,
      WATCH_MILLISECONDS +
        WATCH_MILLISECONDS_PER_NODE * Math.max(0, countNodes() - SMALL_SITE_NODES),
    );
    const batch = await watch(after, longest);
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
    const batch = await watch(pendingRead?.after ?? after, RELAYED_WATCH_MILLISECONDS);
    return typeof batch === 'number' ? batch : 0;
  };
  const follow: Readonly<Record<FollowerRole, (after: number) => Promise<number>>> = {
    alone: followAlone,
    forOthers: followForOthers,
    throughOthers: followThroughOthers,
  };

  return {
    step: async () => {
      const pause = revision === undefined ? await readAll() : await follow[getRole()](revision);
      removeDue();
      return pause;
    },
    isReachable: () => isReachable,
    isStable: () => isReachable && now() - recoveredAt > RECOVERY_GRACE_MILLISECONDS,
    getRevision: () => revision ?? 0,
    confirmRemoval: (key) => {
      if (removals.has(key)) remove(key);
    },
    applyChanges: ({ after, revision: upTo, items, isShortened }) => {
      if (revision === undefined || upTo < revision) return;
      if (after > revision) {
        // Something is missing in between, which a watch brings at once.
        confirmedAt = Number.NEGATIVE_INFINITY;
        return;
      }
      recordResponse();
      const before = revision;
      for (const item of items) if (item.revision > before) apply(item);
      revision = upTo;
      if (isShortened) pendingRead ??= { after: before, at: now() };
    },
    clearPendingRead: () => {
      pendingRead = undefined;
    },
  };
}
