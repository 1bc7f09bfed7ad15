/**
 * Store in memory that can be restored from an older copy of itself. Its calls take no time, and its
 * watches do not wait.
 */
import { composePosition, splitPosition } from '../../../platform/composePosition/index.js';
import type {
  Store,
  StoreItem,
  StoreResult,
  StoreSnapshot,
} from '../../../src/types/store/index.js';

/** Item as the store keeps it, with its own revision. */
interface Item {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
  readonly lease: number;
}

/** Copy of the whole store. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly history: readonly Item[];
  readonly leases: ReadonlySet<number>;
  readonly revision: number;
  readonly nextLease: number;
}

/** Store that can be restored. */
export interface RestorableStore {
  /** Store as nodes use it. */
  readonly store: Store;
  /** Writes an item as an operator or an endpoint does; undefined removes it. */
  readonly put: (key: string, value: string | undefined) => void;
  readonly read: (key: string) => string | undefined;
  readonly list: () => [string, string][];
  /** Removes all keys under a lease and the lease, given by its number in the store. */
  readonly expireLease: (lease: number) => void;
  readonly copy: () => StoreCopy;
  /** Goes back to a copy, in the next era. */
  readonly restore: (copy: StoreCopy) => void;
  /** Whether calls fail. */
  readonly outage: { isActive: boolean };
  /** Number of calls by kind. */
  readonly calls: { range: number; watch: number; transact: number; lease: number };
}

const LOST: StoreResult<never> = { kind: 'unknown', reason: 'timeout' };

/** Creates an empty store. */
export function createRestorableStore(): RestorableStore {
  let items = new Map<string, Item>();
  let history: Item[] = [];
  let leases = new Set<number>();
  let revision = 1;
  let nextLease = 1;
  let era = 0;
  const outage = { isActive: false };
  const calls = { range: 0, watch: 0, transact: 0, lease: 0 };

  const compose = (number: number): number => composePosition({ era, revision: number });
  const isOld = (position: number): boolean => position > 0 && splitPosition(position).era < era;
  const write = (key: string, value: string | undefined, lease = 0): void => {
    const item = { key, value, revision, lease };
    if (value === undefined) items.delete(key);
    else items.set(key, item);
    history.push(item);
  };
  const put = (key: string, value: string | undefined): void => {
    if (value === undefined && !items.has(key)) return;
    revision += 1;
    write(key, value);
  };
  const expireLease = (lease: number): void => {
    if (!leases.delete(lease)) return;
    for (const item of [...items.values()]) if (item.lease === lease) put(item.key, undefined);
  };
  const expose = (item: Item): StoreItem => ({
    key: item.key,
    revision: compose(item.revision),
    value: item.value === undefined ? undefined : Buffer.from(item.value),
  });
  const respond = <Value>(
    kind: keyof typeof calls,
    since: readonly number[],
    run: () => StoreResult<Value>,
  ): Promise<StoreResult<Value>> => {
    calls[kind] += 1;
    if (outage.isActive) return Promise.resolve(LOST);
    return Promise.resolve(since.some(isOld) ? { kind: 'restored' } : run());
  };
  const useLease = (lease: number, use: (known: number) => void): StoreResult<undefined> => {
    const { revision: known } = splitPosition(lease);
    if (!leases.has(known)) return { kind: 'rejected' };
    use(known);
    return { kind: 'done', value: undefined };
  };

  const store: Store = {
    range: (prefix) =>
      respond<StoreSnapshot>('range', [], () => {
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix));
        const snapshot = { items: found.map(expose), revision: compose(revision), era };
        return { kind: 'done', value: snapshot };
      }),
    watch: ({ prefix, after }) =>
      respond<StoreSnapshot>('watch', [after], () => {
        const { revision: last } = splitPosition(after);
        if (last > revision) return { kind: 'rejected' };
        const found = history.filter((item) => item.revision > last && item.key.startsWith(prefix));
        return { kind: 'done', value: { items: found.map(expose), revision: compose(revision) } };
      }),
    transact: ({ expected, puts, remove }) => {
      const positions = [...expected.map((row) => row.revision), ...puts.map(({ lease }) => lease)];
      return respond<number>('transact', positions, () => {
        const isMet = expected.every(
          (row) => (items.get(row.key)?.revision ?? 0) === splitPosition(row.revision).revision,
        );
        const hasLeases = puts.every(
          ({ lease }) => lease === 0 || leases.has(splitPosition(lease).revision),
        );
        if (!isMet || !hasLeases) return { kind: 'rejected' };
        revision += 1;
        for (const { key, value, lease } of puts)
          write(key, value.toString(), splitPosition(lease).revision);
        for (const key of remove) if (items.has(key)) write(key, undefined);
        return { kind: 'done', value: compose(revision) };
      });
    },
    grantLease: () =>
      respond('lease', [], () => {
        const lease = nextLease;
        nextLease += 1;
        leases.add(lease);
        return { kind: 'done', value: compose(lease) };
      }),
    renewLease: (lease) => respond('lease', [lease], () => useLease(lease, () => undefined)),
    revokeLease: (lease) => respond('lease', [lease], () => useLease(lease, expireLease)),
    close: () => undefined,
  };
  return {
    store,
    put,
    read: (key) => items.get(key)?.value,
    list: () => [...items.values()].map(({ key, value = '' }) => [key, value]),
    expireLease,
    copy: () => ({
      items: new Map(items),
      history: [...history],
      leases: new Set(leases),
      revision,
      nextLease,
    }),
    restore: (copy) => {
      items = new Map(copy.items);
      history = [...copy.history];
      leases = new Set(copy.leases);
      ({ revision, nextLease } = copy);
      era += 1;
    },
    outage,
    calls,
  };
}
