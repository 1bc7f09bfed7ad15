/**
 * The platform's store under virtual time: revisions, one history, leases, and outages by node.
 */
import type { Store, StoreItem, StoreResult, StoreSnapshot } from '../../src/types/store/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';

/** Kinds of calls that are counted. */
export type StoreCall = 'range' | 'watch' | 'transact' | 'lease';

/** A store. */
export interface VirtualStore {
  /** The store as one node reaches it. */
  readonly connect: (node: string) => Store;
  /** Writes as an operator or an endpoint would; undefined removes. */
  readonly put: (key: string, value: string | undefined) => void;
  /** Nodes that cannot reach the store. */
  readonly away: Set<string>;
  readonly calls: ReadonlyMap<StoreCall, number>;
}

/** Time that a call takes, in milliseconds. */
const CALL_MILLISECONDS = 4;
/** Time after which a call without an answer is given up. */
const TIMEOUT_MILLISECONDS = 1_500;

interface Waiting {
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
  const waiting = new Set<Waiting>();
  const leases = new Map<number, { until: number; milliseconds: number; keys: Set<string> }>();
  const away = new Set<string>();
  const calls = new Map<StoreCall, number>();
  let revision = 1;

  const put = (key: string, value: string | undefined): void => {
    revision += 1;
    const item = { key, revision, value: value === undefined ? undefined : Buffer.from(value) };
    if (value === undefined) items.delete(key);
    else items.set(key, item);
    history.push(item);
    for (const watch of [...waiting]) if (key.startsWith(watch.prefix)) watch.finish();
  };
  const endLease = (id: number): void => {
    const lease = leases.get(id);
    leases.delete(id);
    for (const key of lease?.keys ?? []) if (items.has(key)) put(key, undefined);
  };
  const sweepLeases = (): void => {
    for (const [id, { until }] of leases) if (until <= time.now()) endLease(id);
    time.schedule(500, sweepLeases);
  };
  sweepLeases();
  const collect = (prefix: string, after: number): StoreSnapshot => {
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
      if (away.has(node)) {
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
        if (collect(prefix, after).items.length === 0 && !away.has(node)) {
          await new Promise<void>((resolve) => {
            const finish = (): void => {
              cancel();
              waiting.delete(watch);
              time.touch();
              resolve();
            };
            const watch = { prefix, finish };
            const cancel = time.schedule(waitMilliseconds, finish);
            waiting.add(watch);
          });
        }
        return call('watch', () => done(collect(prefix, after)));
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
          leases.set(id, { until: time.now() + milliseconds, milliseconds, keys: new Set() });
          return done(id);
        }),
      renewLease: (id) =>
        call('lease', () => {
          const lease = leases.get(id);
          if (!lease) return { kind: 'rejected' };
          lease.until = time.now() + lease.milliseconds;
          return done(undefined);
        }),
      revokeLease: (id) =>
        call('lease', () => {
          endLease(id);
          return done(undefined);
        }),
      close: () => undefined,
    };
  };
  return { connect, put, away, calls };
}
