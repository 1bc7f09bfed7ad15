/**
 * Emulates the platform's store under virtual time: revisions, a history of changes, leases, outages for
 * single nodes, and restorations from older copies.
 */
import { composePosition, splitPosition } from '../../platform/composePosition/index.js';
import { createChangeLog } from '../../standins/createChangeLog/index.js';
import type { Store, StoreItem, StoreResult, StoreSnapshot } from '../../src/types/store/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Kind of a counted call. */
export type StoreCall = 'range' | 'watch' | 'transact' | 'lease';

/** Emulated store of a site. */
export interface VirtualStore {
  /** Returns the store as one node accesses it. */
  readonly connect: (node: string) => Store;
  /** Writes an item as an operator or an endpoint does; undefined removes it. */
  readonly put: (key: string, value: string | undefined) => void;
  /** Names of the nodes that cannot reach the store. */
  readonly unreachableFrom: Set<string>;
  /**
   * Returns to the state of some milliseconds ago, cuts all waiting watches, and begins the next era. Leases of that
   * time run anew.
   */
  readonly restore: (ageMilliseconds: number) => void;
  /** Lets the connections of all waiting watches go silent: their responses never arrive. */
  readonly silenceConnections: () => void;
  readonly calls: ReadonlyMap<StoreCall, number>;
}

/** Options of {@link createVirtualStore}. */
export interface CreateVirtualStoreOptions {
  /** Whether nodes get revisions without the era, as from an adapter that ignores it; false by default. */
  readonly hidesEra?: boolean;
  /** Whether nodes wait for responses without a time limit; false by default. */
  readonly waitsWithoutLimit?: boolean;
}

/** Duration of a call. */
const CALL_MILLISECONDS = 4;
/** Time-out of a call without a reply. */
const TIMEOUT_MILLISECONDS = 1_500;

/** Time that a watch may take beyond its wait. */
const WATCH_TIMEOUT_MARGIN_MILLISECONDS = 600;

/** How a watch ends without a response. */
type WatchFailure = 'cut' | 'silent';

/** A watch that waits for a change. */
interface PendingWatch {
  readonly prefix: string;
  readonly finish: (failure?: WatchFailure) => void;
}

interface Lease {
  expiresAt: number;
  readonly milliseconds: number;
  readonly keys: Set<string>;
}

/**
 * Creates an empty store.
 *
 * @param time - virtual time
 * @param options - whether nodes get revisions without the era
 * @returns the store
 * @example
 * createVirtualStore(time).connect('node-1').range('');
 */
export function createVirtualStore(
  time: VirtualTime,
  { hidesEra = false, waitsWithoutLimit = false }: CreateVirtualStoreOptions = {},
): VirtualStore {
  const items = new Map<string, StoreItem>();
  let history: StoreItem[] = [];
  const pendingWatches = new Set<PendingWatch>();
  const leases = new Map<number, Lease>();
  const unreachableFrom = new Set<string>();
  const calls = new Map<StoreCall, number>();
  const changes = createChangeLog(time.now);
  let revision = 1;
  let nextLease = 1;
  let era = 0;

  const assign = (key: string, item: StoreItem | undefined): void => {
    if (item) items.set(key, item);
    else items.delete(key);
  };
  const put = (key: string, value: string | undefined): void => {
    const previous = items.get(key);
    revision += 1;
    const item = { key, revision, value: value === undefined ? undefined : Buffer.from(value) };
    assign(key, value === undefined ? undefined : item);
    changes.record(() => {
      revision -= 1;
      assign(key, previous);
    });
    history.push(item);
    for (const watch of [...pendingWatches]) if (key.startsWith(watch.prefix)) watch.finish();
  };
  const dropLease = (id: number): void => {
    const lease = leases.get(id);
    if (!lease) return;
    leases.delete(id);
    changes.record(() => leases.set(id, lease));
    for (const key of lease.keys) if (items.has(key)) put(key, undefined);
  };
  const expireLeases = (): void => {
    for (const [id, { expiresAt }] of leases) if (expiresAt <= time.now()) dropLease(id);
    time.schedule(500, expireLeases);
  };
  expireLeases();
  /** Returns a revision or lease as nodes get it. */
  const toPosition = (number: number): number =>
    hidesEra ? number : composePosition({ era, revision: number });
  const isOfEarlierEra = (position: number): boolean =>
    position > 0 && !hidesEra && splitPosition(position).era < era;
  const toNumber = (position: number): number => splitPosition(position).revision;
  const toItem = (item: StoreItem): StoreItem => ({
    ...item,
    revision: toPosition(item.revision),
  });
  const createSnapshot = (found: readonly StoreItem[]): StoreSnapshot => ({
    items: found.map(toItem),
    revision: toPosition(revision),
    ...(!hidesEra && { era }),
  });
  const listChanges = (prefix: string, after: number): StoreItem[] => {
    const found: StoreItem[] = [];
    for (let index = history.length - 1; index >= 0; index -= 1) {
      const item = history[index];
      if (!item || item.revision <= after) break;
      if (item.key.startsWith(prefix)) found.push(item);
    }
    return found.reverse();
  };

  const connect = (node: string): Store => {
    const call = async <Value>(
      kind: StoreCall,
      run: () => StoreResult<Value>,
    ): Promise<StoreResult<Value>> => {
      calls.set(kind, (calls.get(kind) ?? 0) + 1);
      if (unreachableFrom.has(node)) {
        return time.delay(TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timeout' });
      }
      await time.delay(CALL_MILLISECONDS / 2, undefined);
      const result = run();
      return time.delay(CALL_MILLISECONDS / 2, result);
    };
    const done = <Value>(value: Value): StoreResult<Value> => ({ kind: 'done', value });
    return {
      range: (prefix) =>
        call('range', () =>
          done(createSnapshot([...items.values()].filter(({ key }) => key.startsWith(prefix)))),
        ),
      watch: async ({ prefix, after, waitMilliseconds }) => {
        const hasChanges = (): boolean => listChanges(prefix, toNumber(after)).length > 0;
        const isCurrent = (): boolean => !isOfEarlierEra(after) && toNumber(after) <= revision;
        const timeoutAt = waitsWithoutLimit
          ? Number.POSITIVE_INFINITY
          : time.now() + waitMilliseconds + WATCH_TIMEOUT_MARGIN_MILLISECONDS;
        let failure: WatchFailure | undefined;
        if (isCurrent() && !hasChanges() && !unreachableFrom.has(node)) {
          await new Promise<void>((resolve) => {
            const finish = (end?: WatchFailure): void => {
              failure = end;
              cancel();
              pendingWatches.delete(watch);
              time.requestFlush();
              resolve();
            };
            const watch = { prefix, finish };
            const cancel = time.schedule(waitMilliseconds, finish);
            pendingWatches.add(watch);
          });
        }
        if (failure === 'silent') {
          calls.set('watch', (calls.get('watch') ?? 0) + 1);
          const result = { kind: 'unknown', reason: 'timeout', isReused: true } as const;
          return time.delay(timeoutAt - time.now(), result);
        }
        return call('watch', () => {
          if (failure === 'cut') return { kind: 'unknown', reason: 'connection closed' };
          if (isOfEarlierEra(after)) return { kind: 'restored' };
          if (!isCurrent()) return { kind: 'rejected' };
          return done(createSnapshot(listChanges(prefix, toNumber(after))));
        });
      },
      transact: ({ expected, puts, remove }) =>
        call('transact', () => {
          const positions = [
            ...expected.map((row) => row.revision),
            ...puts.map(({ lease }) => lease),
          ];
          if (positions.some(isOfEarlierEra)) return { kind: 'restored' };
          const isMet = expected.every(
            (row) => (items.get(row.key)?.revision ?? 0) === toNumber(row.revision),
          );
          if (!isMet) return { kind: 'rejected' };
          for (const { key, value, lease } of puts) {
            if (lease !== 0 && !leases.has(toNumber(lease))) return { kind: 'rejected' };
            leases.get(toNumber(lease))?.keys.add(key);
            put(key, value.toString());
          }
          for (const key of remove) put(key, undefined);
          return done(toPosition(revision));
        }),
      grantLease: (milliseconds) =>
        call('lease', () => {
          const id = nextLease;
          nextLease += 1;
          leases.set(id, { expiresAt: time.now() + milliseconds, milliseconds, keys: new Set() });
          changes.record(() => {
            leases.delete(id);
            nextLease = id;
          });
          return done(toPosition(id));
        }),
      renewLease: (position) =>
        call('lease', () => {
          if (isOfEarlierEra(position)) return { kind: 'restored' };
          const lease = leases.get(toNumber(position));
          if (!lease) return { kind: 'rejected' };
          lease.expiresAt = time.now() + lease.milliseconds;
          return done(undefined);
        }),
      revokeLease: (position) =>
        call('lease', () => {
          if (isOfEarlierEra(position)) return { kind: 'restored' };
          dropLease(toNumber(position));
          return done(undefined);
        }),
      close: () => undefined,
    };
  };
  const restore = (ageMilliseconds: number): void => {
    changes.revertSince(time.now() - ageMilliseconds);
    era += 1;
    history = history.filter((item) => item.revision <= revision);
    for (const lease of leases.values()) lease.expiresAt = time.now() + lease.milliseconds;
    for (const watch of [...pendingWatches]) watch.finish('cut');
  };
  const silenceConnections = (): void => {
    for (const watch of [...pendingWatches]) watch.finish('silent');
  };
  return { connect, put, unreachableFrom, restore, silenceConnections, calls };
}
