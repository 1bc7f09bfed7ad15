/**
 * Port to a key-value store with revisions, watches and leases.
 */

/** One item, or the removal of one. */
export interface StoreItem {
  readonly key: string;
  readonly revision: number;
  /** Undefined when the item was removed. */
  readonly value?: Buffer | undefined;
}

/** Items and the store's revision when they were read. */
export interface StoreSnapshot {
  readonly items: readonly StoreItem[];
  readonly revision: number;
}

/** Result of a call to the store. */
export type StoreResult<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  /** The condition did not hold, or the lease or history is gone. */
  | { readonly kind: 'rejected' }
  /** Nothing was done. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** The call may have been carried out, or may be later. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** A conditional write. */
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

/** A key-value store. */
export interface Store {
  readonly range: (prefix: string) => Promise<StoreResult<StoreSnapshot>>;
  /** Waits for changes after a revision; rejected when that history is gone. */
  readonly watch: (options: WatchOptions) => Promise<StoreResult<StoreSnapshot>>;
  /** Resolves to the revision of the change. */
  readonly transact: (transaction: StoreTransaction) => Promise<StoreResult<number>>;
  readonly grantLease: (milliseconds: number) => Promise<StoreResult<number>>;
  readonly keepLease: (lease: number) => Promise<StoreResult<undefined>>;
  readonly endLease: (lease: number) => Promise<StoreResult<undefined>>;
  readonly close: () => void;
}
