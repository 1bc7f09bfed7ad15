/**
 * Port to a key-value store with revisions, watches and leases.
 *
 * Revisions rise also when the store is restored from an older copy of itself: each one that it gives
 * out afterwards is higher than all before. The same holds for leases.
 */

/** Stored item, or the removal of one. */
export interface StoreItem {
  readonly key: string;
  readonly revision: number;
  /** Undefined when the item was removed. */
  readonly value?: Buffer | undefined;
}

/** Items with the revision of the store at which they were read. */
export interface StoreSnapshot {
  readonly items: readonly StoreItem[];
  readonly revision: number;
  /** Number of restorations of the store from older copies before the read; 0 by default. */
  readonly era?: number | undefined;
}

/** Result of a call to the store. */
export type StoreResult<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  /** The condition did not hold, the lease has expired, or the history was compacted. */
  | { readonly kind: 'rejected' }
  /**
   * The store was restored from an older copy since it gave out the revision or the lease of the call,
   * so that changes after that copy are gone. The call may have taken effect.
   */
  | { readonly kind: 'restored' }
  /** The call had no effect. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** The call may have taken effect, or may take effect later. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /**
       * Whether the call used a connection that was kept from earlier calls, so that its failure may be that of the
       * connection alone; false by default.
       */
      readonly isReused?: boolean;
    };

/** Write that takes effect only if all expected revisions match. */
export interface StoreTransaction {
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: Buffer;
    readonly lease: number;
  }[];
  readonly remove: readonly string[];
}

/** Options of {@link Store.watch}. */
export interface WatchOptions {
  readonly prefix: string;
  readonly after: number;
  readonly waitMilliseconds: number;
}

/** Key-value store. */
export interface Store {
  /** Reads all items whose key begins with a prefix. */
  readonly range: (prefix: string) => Promise<StoreResult<StoreSnapshot>>;
  /** Waits for changes after a revision; rejected when that history was compacted. */
  readonly watch: (options: WatchOptions) => Promise<StoreResult<StoreSnapshot>>;
  /** Writes conditionally; resolves to the revision of the write. */
  readonly transact: (transaction: StoreTransaction) => Promise<StoreResult<number>>;
  readonly grantLease: (milliseconds: number) => Promise<StoreResult<number>>;
  readonly renewLease: (lease: number) => Promise<StoreResult<undefined>>;
  readonly revokeLease: (lease: number) => Promise<StoreResult<undefined>>;
  readonly close: () => void;
}
