/**
 * Emulates the platform's store under virtual time: revisions, a history of changes, leases, and
 * outages for single nodes.
 */
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
  readonly calls: ReadonlyMap<StoreCall, number>;
}

/** Duration of a call. */
const CALL_MILLISECONDS = 4;
/** Time-out of a call without a reply. */
const TIMEOUT_MILLISECONDS = 1_500;

/** A watch that waits for a change. */
interface PendingWatch {
  readonly prefix: string;
  readonly finish: () => void;
}

/**
 * Creates an empty store.
 *
 * @param time - virtual time
 * @returns the store
 * @example
 * createVirtualStore(time).connect('node-1').range('');
 */
export function createVirtualStore(time: VirtualTime): VirtualStore {
  const items = new Map<string, StoreItem>();
  const history: StoreItem[] = [];
  const pendingWatches = new Set<PendingWatch>();
  const leases = new Map<number, { expiresAt: number; milliseconds: number; keys: Set<string> }>();
  const unreachableFrom = new Set<string>();
  const calls = new Map<StoreCall, number>();
  let revision = 1;

  const put = (key: string, value: string | undefined): void => {
    revision += 1;
    const item = { key, revision, value: value === undefined ? undefined : Buffer.from(value) };
    if (value === undefined) items.delete(key);
    else items.set(key, item);
    history.push(item);
    for (const watch of [...pendingWatches]) if (key.startsWith(watch.prefix)) watch.finish();
  };
  const dropLease = (id: number): void => {
    const lease = leases.get(id);
    leases.delete(id);
    for (const key of lease?.keys ?? []) if (items.has(key)) put(key, undefined);
  };
  const expireLeases = (): void => {
    for (const [id, { expiresAt }] of leases) if (expiresAt <= time.now()) dropLease(id);
    time.schedule(500, expireLeases);
  };
  expireLeases();
  const listChanges = (prefix: string, after: number): StoreSnapshot => {
    const found: StoreItem[] = [];
    for (let index = history.length - 1; index >= 0; index -= 1) {
      const item = history[index];
      if (!item || item.revision <= after) break;
      if (item.key.startsWith(prefix)) found.push(item);
    }
    return { items: found.reverse(), revision };
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
          done({
            items: [...items.values()].filter(({ key }) => key.startsWith(prefix)),
            revision,
          }),
        ),
      watch: async ({ prefix, after, waitMilliseconds }) => {
        if (listChanges(prefix, after).items.length === 0 && !unreachableFrom.has(node)) {
          await new Promise<void>((resolve) => {
            const finish = (): void => {
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
        return call('watch', () => done(listChanges(prefix, after)));
      },
      transact: ({ expected, puts, remove }) =>
        call('transact', () => {
          const isMet = expected.every(
            (row) => (items.get(row.key)?.revision ?? 0) === row.revision,
          );
          if (!isMet) return { kind: 'rejected' };
          for (const { key, value, lease } of puts) {
            if (lease !== 0 && !leases.has(lease)) return { kind: 'rejected' };
            leases.get(lease)?.keys.add(key);
            put(key, value.toString());
          }
          for (const key of remove) put(key, undefined);
          return done(revision);
        }),
      grantLease: (milliseconds) =>
        call('lease', () => {
          const id = leases.size + revision * 1_000;
          leases.set(id, { expiresAt: time.now() + milliseconds, milliseconds, keys: new Set() });
          return done(id);
        }),
      renewLease: (id) =>
        call('lease', () => {
          const lease = leases.get(id);
          if (!lease) return { kind: 'rejected' };
          lease.expiresAt = time.now() + lease.milliseconds;
          return done(undefined);
        }),
      revokeLease: (id) =>
        call('lease', () => {
          dropLease(id);
          return done(undefined);
        }),
      close: () => undefined,
    };
  };
  return { connect, put, unreachableFrom, calls };
}
