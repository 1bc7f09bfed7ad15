/**
 * Items of the store as a follower knows them, each by its newest revision, and removals that are
 * deferred after an outage.
 */
import type { StoreItem, StoreSnapshot } from '../../../types/store/index.js';

/** Where a value comes from: a change, or the older copy from which the store was restored. */
export type ItemOrigin = 'change' | 'restored';

/** Called with each new value; undefined for a removal. */
export type ItemCallback = (key: string, value: Buffer | undefined, origin: ItemOrigin) => void;

/** Items of the store. */
export interface StoreItems {
  /** Applies a change, unless a newer one of its key is known. */
  readonly apply: (item: StoreItem) => void;
  /** Applies all items of the store; items that it does not contain are removed. */
  readonly applySnapshot: (snapshot: StoreSnapshot, origin: ItemOrigin) => void;
  /** Adds a key that another node reported, so that a snapshot without it removes its item. */
  readonly addReported: (key: string) => void;
  /** Removes an item immediately whose removal is deferred. */
  readonly confirmRemoval: (key: string) => void;
  /** Removes the items whose time has come. */
  readonly removeDue: () => void;
  /** Returns the time of the next deferred removal in milliseconds; infinite without one. */
  readonly getNextRemoval: () => number;
  /** Returns which share of the known items changes remove, from 0 to 1. */
  readonly computeRemovedShare: (changes: readonly StoreItem[]) => number;
  /** Returns which share of the known items a snapshot does not contain, from 0 to 1. */
  readonly computeMissingShare: (snapshot: StoreSnapshot) => number;
}

/** Options of {@link createStoreItems}. */
export interface CreateStoreItemsOptions {
  readonly now: () => number;
  /** Returns the earliest time at which a missing item counts as removed, in milliseconds. */
  readonly getRemovalTime: () => number;
  readonly onItem: ItemCallback;
}

/** Maximum number of removed items whose revision is remembered. */
const MAXIMUM_REMEMBERED_REMOVALS = 4_096;

/**
 * Creates an empty table of items.
 *
 * @param options - the clock, the time of removals and the callback for each change
 * @returns the table
 * @example
 * createStoreItems({ now, getRemovalTime: now, onItem }).apply(item);
 */
export function createStoreItems(options: CreateStoreItemsOptions): StoreItems {
  const { now, getRemovalTime, onItem } = options;
  /** Revision of the newest change of each present or retained item. */
  const revisions = new Map<string, number>();
  const removals = new Map<string, number>();
  /** Revision of the newest change of removed items, so that an older change does not bring one back. */
  const removedRevisions = new Map<string, number>();

  /** Returns the share of the known keys that satisfy a condition. */
  const computeShare = (isCounted: (key: string) => boolean): number =>
    [...revisions.keys()].filter(isCounted).length / Math.max(1, revisions.size);
  const rememberRemoval = (key: string): void => {
    removedRevisions.delete(key);
    removedRevisions.set(key, revisions.get(key) ?? 0);
    const [oldest] = removedRevisions.keys();
    if (removedRevisions.size > MAXIMUM_REMEMBERED_REMOVALS && oldest !== undefined)
      removedRevisions.delete(oldest);
  };
  const remove = (key: string): void => {
    rememberRemoval(key);
    revisions.delete(key);
    removals.delete(key);
    onItem(key, undefined, 'change');
  };
  const scheduleRemoval = (key: string, revision: number): void => {
    const known = revisions.get(key);
    if (known === undefined || revision < known) return;
    const dueAt = getRemovalTime();
    revisions.set(key, revision);
    if (dueAt <= now()) {
      remove(key);
      return;
    }
    if (!removals.has(key)) removals.set(key, dueAt);
  };
  const write = (key: string, value: Buffer, revision: number, origin: ItemOrigin): void => {
    const known = revisions.get(key) ?? removedRevisions.get(key) ?? Number.NEGATIVE_INFINITY;
    if (revision <= known) return;
    removedRevisions.delete(key);
    revisions.set(key, revision);
    removals.delete(key);
    onItem(key, value, origin);
  };
  return {
    apply: ({ key, value, revision }) => {
      if (value === undefined) scheduleRemoval(key, revision);
      else write(key, value, revision, 'change');
    },
    applySnapshot: ({ items, revision }, origin) => {
      // After a restoration, the time in which writers may write again starts anew.
      if (origin === 'restored') removals.clear();
      const present = new Set(items.map(({ key }) => key));
      for (const item of items) {
        if (item.value !== undefined) write(item.key, item.value, item.revision, origin);
      }
      for (const key of [...revisions.keys()]) {
        if (!present.has(key)) scheduleRemoval(key, revision);
      }
    },
    addReported: (key) => {
      if (!revisions.has(key)) revisions.set(key, 0);
    },
    confirmRemoval: (key) => {
      if (removals.has(key)) remove(key);
    },
    removeDue: () => {
      for (const [key, dueAt] of removals) if (dueAt <= now()) remove(key);
    },
    getNextRemoval: () => Math.min(...removals.values(), Number.POSITIVE_INFINITY),
    computeRemovedShare: (changes) => {
      const latest = new Map(changes.map(({ key, value }) => [key, value]));
      return computeShare((key) => latest.has(key) && latest.get(key) === undefined);
    },
    computeMissingShare: ({ items }) => {
      const present = new Set(items.map(({ key }) => key));
      return computeShare((key) => !present.has(key));
    },
  };
}
