/**
 * Stand-in of the platform's key-value service: revisions, watches, conditional writes and leases.
 */
import type http from 'node:http';
import { z } from 'zod';
import { createChangeLog } from '../createChangeLog/index.js';
import type { Faults } from '../createFaults/index.js';
import { listenStandin, readText, replyJson, type Standin } from '../listenStandin/index.js';

const transactionSchema = z.object({
  expected: z.array(z.object({ key: z.string(), revision: z.number() })),
  puts: z.array(z.object({ key: z.string(), value: z.string(), lease: z.number().default(0) })),
  remove: z.array(z.string()),
});
const leaseSchema = z.object({ ttl_ms: z.number() });

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

type Change = Item | { readonly key: string; readonly revision: number; readonly deleted: true };

interface Lease {
  readonly milliseconds: number;
  timer: NodeJS.Timeout;
}

/** Running store. */
export interface SiteStore extends Standin {
  /** Writes an item as an operator or an endpoint does: text or bytes as they are, else as JSON. */
  readonly put: (key: string, value: unknown) => void;
  readonly remove: (key: string) => void;
  /**
   * Returns to the state of some milliseconds ago, cuts all waiting watches, and begins the next era. Leases of that
   * time run anew.
   */
  readonly restore: (ageMilliseconds: number) => void;
  /** Compacts the history of changes, so that watches must read all items again. */
  readonly compactHistory: () => void;
  readonly read: (key: string) => string | undefined;
}

type Handler = (parameters: URLSearchParams, body: unknown, path: string) => Reply | 'waits';

interface Reply {
  readonly status: number;
  readonly value: unknown;
}

/** A watch that waits for a change. */
interface PendingWatch {
  readonly prefix: string;
  readonly finish: () => void;
  readonly cut: () => void;
}

const ERA_HEADER = 'Store-Era';
const COMPACTED_STATUS = 410;

function parseBody(text: string): unknown {
  return text === '' ? {} : JSON.parse(text);
}

/**
 * Serves a store on loopback.
 *
 * @param port - port, or 0 for any free one
 * @returns the store
 * @example
 * const store = await serveSiteStore(0);
 */
export async function serveSiteStore(port: number): Promise<SiteStore> {
  const items = new Map<string, Item>();
  const leases = new Map<number, Lease>();
  const pendingWatches = new Set<PendingWatch>();
  let history: Change[] = [];
  let revision = 1;
  /** Watches after an earlier revision get the status 410. */
  let compactedRevision = 0;
  let nextLease = 1;
  let era = 1;
  const changes = createChangeLog(() => performance.now());

  const advanceRevision = (): void => {
    revision += 1;
    changes.record(() => (revision -= 1));
  };
  /** Sets or removes an item, so that the change can be reverted. */
  const storeItem = (key: string, item: Item | undefined): void => {
    const previous = items.get(key);
    const assign = (value: Item | undefined): void => {
      if (value) items.set(key, value);
      else items.delete(key);
    };
    assign(item);
    changes.record(() => {
      assign(previous);
    });
  };
  const appendChange = (change: Change): void => {
    history.push(change);
    for (const watch of [...pendingWatches])
      if (change.key.startsWith(watch.prefix)) watch.finish();
  };
  const writeItem = (key: string, value: string, lease: number): void => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    storeItem(key, item);
    appendChange(item);
  };
  const removeItem = (key: string): void => {
    if (!items.has(key)) return;
    storeItem(key, undefined);
    appendChange({ key, revision, deleted: true });
  };
  const revokeLease = (lease: number): boolean => {
    const known = leases.get(lease);
    if (!known) return false;
    clearTimeout(known.timer);
    leases.delete(lease);
    changes.record(() => leases.set(lease, known));
    advanceRevision();
    for (const item of [...items.values()]) if (item.lease === lease) removeItem(item.key);
    return true;
  };
  const startLeaseTimer = (lease: number, milliseconds: number): NodeJS.Timeout =>
    setTimeout(() => revokeLease(lease), milliseconds).unref();
  const listItems = (prefix: string): Item[] =>
    [...items.values()].filter(({ key }) => key.startsWith(prefix));

  const transact = (body: unknown): Reply => {
    const { expected, puts, remove } = transactionSchema.parse(body);
    const isMet = expected.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
    if (!isMet) return { status: 412, value: { items: expected.map(({ key }) => items.get(key)) } };
    if (puts.some(({ lease }) => lease !== 0 && !leases.has(lease)))
      return { status: 404, value: {} };
    advanceRevision();
    for (const { key, value, lease } of puts) writeItem(key, value, lease);
    for (const key of remove) removeItem(key);
    return { status: 200, value: { revision } };
  };
  const grantLease = (body: unknown): Reply => {
    const { ttl_ms: milliseconds } = leaseSchema.parse(body);
    const lease = nextLease;
    nextLease += 1;
    leases.set(lease, { milliseconds, timer: startLeaseTimer(lease, milliseconds) });
    changes.record(() => {
      clearTimeout(leases.get(lease)?.timer);
      leases.delete(lease);
      nextLease = lease;
    });
    return { status: 200, value: { lease, ttl_ms: milliseconds } };
  };
  const renewLease = (lease: number): Reply => {
    const known = leases.get(lease);
    if (!known) return { status: 404, value: {} };
    clearTimeout(known.timer);
    known.timer = startLeaseTimer(lease, known.milliseconds);
    return { status: 200, value: { ttl_ms: known.milliseconds } };
  };
  const readLease = (path: string): number => Number(path.split('/').at(-1));
  const handlers: Readonly<Record<string, Handler>> = {
    'GET /kv-range': (parameters) => ({
      status: 200,
      value: { items: listItems(parameters.get('prefix') ?? ''), truncated: false, at: revision },
    }),
    'POST /kv-txn': (_, body) => transact(body),
    'POST /kv-lease': (_, body) => grantLease(body),
    'POST /kv-keep': (_, __, path) => renewLease(readLease(path)),
    'DELETE /kv-lease-end': (_, __, path) => ({
      status: revokeLease(readLease(path)) ? 200 : 404,
      value: {},
    }),
    'GET /kv-watch': () => 'waits',
  };
  const setEraHeader = (response: http.ServerResponse): void => {
    response.setHeader(ERA_HEADER, String(era));
  };
  const reply = (
    response: http.ServerResponse,
    faults: Faults,
    target: string,
    { status, value }: Reply,
  ): void => {
    if (!response.headersSent) setEraHeader(response);
    replyJson(response, faults, target, value, status);
  };
  const startWatch = (
    parameters: URLSearchParams,
    response: http.ServerResponse,
    faults: Faults,
  ): void => {
    const prefix = parameters.get('prefix') ?? '';
    const after = Number(parameters.get('after'));
    if (after < compactedRevision || after > revision) {
      reply(response, faults, '/kv-watch', { status: COMPACTED_STATUS, value: {} });
      return;
    }
    const listChanges = (): Change[] =>
      history.filter((change) => change.revision > after && change.key.startsWith(prefix));
    const watch: PendingWatch = {
      prefix,
      finish: () => {
        clearTimeout(timer);
        pendingWatches.delete(watch);
        // Deferred by one turn of the event loop, so that the response has all changes of a transaction.
        setImmediate(() => {
          const value = { events: listChanges(), at: revision };
          reply(response, faults, '/kv-watch', { status: 200, value });
        });
      },
      cut: () => response.destroy(),
    };
    const timer = setTimeout(watch.finish, Number(parameters.get('wait_ms')));
    pendingWatches.add(watch);
    response.on('close', () => {
      clearTimeout(timer);
      pendingWatches.delete(watch);
    });
    if (listChanges().length > 0) watch.finish();
  };

  const standin = await listenStandin({
    port,
    seed: 1,
    setHeaders: setEraHeader,
    handle: (request, response, faults) => {
      const url = new URL(request.url ?? '/', 'http://store');
      const [, name = ''] = url.pathname.split('/');
      const handler = handlers[`${request.method ?? 'GET'} /${name}`];
      readText(request, (text) => {
        const result = handler?.(url.searchParams, parseBody(text), url.pathname);
        if (result === 'waits') startWatch(url.searchParams, response, faults);
        else reply(response, faults, url.pathname, result ?? { status: 404, value: {} });
      });
    },
  });
  return {
    ...standin,
    put: (key, value) => {
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      const bytes = Buffer.isBuffer(value) ? value : Buffer.from(text);
      advanceRevision();
      writeItem(key, bytes.toString('base64'), 0);
    },
    remove: (key) => {
      advanceRevision();
      removeItem(key);
    },
    restore: (ageMilliseconds) => {
      changes.revertSince(performance.now() - ageMilliseconds);
      era += 1;
      history = history.filter((change) => change.revision <= revision);
      compactedRevision = Math.min(compactedRevision, revision);
      for (const [lease, known] of leases) {
        clearTimeout(known.timer);
        known.timer = startLeaseTimer(lease, known.milliseconds);
      }
      for (const watch of [...pendingWatches]) watch.cut();
    },
    compactHistory: () => {
      history = [];
      advanceRevision();
      compactedRevision = revision;
      for (const watch of [...pendingWatches]) watch.finish();
    },
    read: (key) => {
      const item = items.get(key);
      return item && Buffer.from(item.value, 'base64').toString();
    },
  };
}
