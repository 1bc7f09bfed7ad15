/**
 * Stand-in of the platform's metadata store: keys, watches, conditional transactions and leases over HTTP.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Store, and the writes of the operator, the engines and others. */
export interface StoreStandIn {
  readonly address: string;
  /** Writes a value; it is acknowledged when the call returns. */
  readonly put: (key: string, value: unknown) => void;
  readonly remove: (key: string) => void;
  readonly close: () => void;
}

interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
  readonly created?: number;
  readonly lease?: number;
  readonly deleted?: boolean;
}

interface PutRequest {
  readonly key: string;
  readonly value: string;
  readonly lease?: number;
}

interface StoreRequest {
  readonly expected?: readonly { readonly key: string; readonly revision: number }[];
  readonly puts?: readonly PutRequest[];
  readonly remove?: readonly string[];
  readonly ttl_ms?: number;
}

interface WrittenItem {
  readonly key: string;
  readonly value: Buffer;
  readonly lease?: number | undefined;
}

type StoreResponse = readonly [status: number, value: unknown];
type Handler = (
  query: URLSearchParams,
  body: StoreRequest,
  id: number,
) => StoreResponse | Promise<StoreResponse>;

const FIRST_REVISION = 100;
const HISTORY_LIMIT = 20_000;
const PAGE_ITEMS = 500;
const EXPIRY_CHECK_MILLISECONDS = 100;
const IDLE_MILLISECONDS = 60_000;

function encodeItem({ key, value, revision, created, lease }: StoredItem): StoreEvent {
  return { key, value: value.toString('base64'), revision, created, lease };
}

/** Prefixes of the keys that only the operator and the engines write. */
function isWritable(key: string): boolean {
  return !key.startsWith('op/') && !key.startsWith('servers/');
}

/** Starts the store on a loopback address. */
export async function startStore(host = '127.0.0.1'): Promise<StoreStandIn> {
  const items = new Map<string, StoredItem>();
  const leases = new Map<number, { readonly milliseconds: number; endsAt: number }>();
  const history: StoreEvent[] = [];
  const watchers = new Set<() => void>();
  let revision = FIRST_REVISION;
  let leaseCount = 0;

  const write = (puts: readonly WrittenItem[], removed: readonly string[]): number => {
    revision += 1;
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
      items.set(key, item);
      history.push(encodeItem(item));
    }
    for (const key of removed) {
      if (items.delete(key)) history.push({ key, revision, deleted: true });
    }
    history.splice(0, Math.max(0, history.length - HISTORY_LIMIT));
    for (const watcher of [...watchers]) watcher();
    return revision;
  };
  const expire = (): void => {
    for (const [id, { endsAt }] of leases) {
      if (endsAt > Date.now()) continue;
      leases.delete(id);
      const keys = [...items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
      if (keys.length > 0) write([], keys);
    }
  };
  const timer = setInterval(expire, EXPIRY_CHECK_MILLISECONDS);

  const readRange: Handler = (query) => {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = found.slice(0, PAGE_ITEMS).map(encodeItem);
    return [200, { items: page, truncated: found.length > page.length, at: revision }];
  };
  const watch: Handler = (query) =>
    new Promise((resolve) => {
      const prefix = query.get('prefix') ?? '';
      const after = Number(query.get('after'));
      const listEvents = (): StoreEvent[] =>
        history.filter((event) => event.revision > after && event.key.startsWith(prefix));
      const finish = (): void => {
        clearTimeout(limit);
        watchers.delete(check);
        resolve([200, { events: listEvents(), at: revision }]);
      };
      const check = (): void => {
        if (listEvents().length > 0) finish();
      };
      const limit = setTimeout(finish, Number(query.get('wait_ms')));
      watchers.add(check);
      check();
    });
  const transact: Handler = (_query, { expected = [], puts = [], remove = [] }) => {
    const holds = expected.every(({ key, revision: at }) => (items.get(key)?.revision ?? 0) === at);
    if (!holds) {
      const current = expected.flatMap(({ key }) => items.get(key) ?? []);
      return [412, { items: current.map(encodeItem) }];
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return [404, {}];
    if (![...puts.map(({ key }) => key), ...remove].every(isWritable)) return [403, {}];
    const written = puts.map(({ key, value, lease }) => ({
      key,
      value: Buffer.from(value, 'base64'),
      lease,
    }));
    return [200, { revision: write(written, remove) }];
  };
  const grantLease: Handler = (_query, { ttl_ms: milliseconds = 0 }) => {
    leaseCount += 1;
    leases.set(leaseCount, { milliseconds, endsAt: Date.now() + milliseconds });
    return [200, { lease: leaseCount, ttl_ms: milliseconds }];
  };
  const renewLease: Handler = (_query, _body, id) => {
    const lease = leases.get(id);
    if (!lease) return [404, {}];
    lease.endsAt = Date.now() + lease.milliseconds;
    return [200, {}];
  };
  const endLease: Handler = (_query, _body, id) => {
    const lease = leases.get(id);
    if (!lease) return [404, {}];
    lease.endsAt = 0;
    expire();
    return [200, {}];
  };
  const handlers: Readonly<Record<string, Handler | undefined>> = {
    'GET /kv-range': readRange,
    'GET /kv-watch': watch,
    'POST /kv-txn': transact,
    'POST /kv-lease': grantLease,
    'POST /kv-keep': renewLease,
    'DELETE /kv-lease-end': endLease,
  };
  const respond = async (method: string, url: string, body: string): Promise<StoreResponse> => {
    const { pathname, searchParams } = new URL(url, 'http://store');
    const [, name = '', id = ''] = pathname.split('/');
    const handler = handlers[`${method} /${name}`];
    const parsed = body === '' ? {} : (JSON.parse(body) as StoreRequest);
    return handler ? handler(searchParams, parsed, Number(id)) : [400, {}];
  };

  const server = createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const { method = 'GET', url = '/' } = incoming;
      void respond(method, url, Buffer.concat(chunks).toString()).then(([status, value]) => {
        response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '1' });
        response.end(JSON.stringify(value));
      });
    });
  });
  server.keepAliveTimeout = IDLE_MILLISECONDS;
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;

  return {
    address: `${host}:${port}`,
    put: (key, value) => {
      write([{ key, value: Buffer.from(JSON.stringify(value)) }], []);
    },
    remove: (key) => {
      write([], [key]);
    },
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
